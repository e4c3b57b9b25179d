/**
 * Runs one request at the gateway: makes attempts at backend servers until one
 * answers, the deadline passes or the caller disconnects. Subclasses handle the
 * kind of answer.
 */
import {
	type AttemptOutcome,
	type BackendId,
	createFailure,
	decideAfterAttempt,
	type Failure,
	type SentRequest,
} from 'bramleystage';
import {writeErrorResponse} from './error-response.js';
import {type Call, isRepeatable} from './call.js';
import type {AttemptEnd} from './request-ends.js';
import {
	buildRefusal,
	describeNoBackend,
	type RefusalResult,
} from './call-refusal.js';
import {type AttemptRun, RunHistory} from './run-history.js';
import type {RunContext} from './run-context.js';
import {TurnTaker} from './turn-taker.js';

export abstract class CallRun {
	protected isFinished = false;
	protected answerStartedAt: number | undefined;
	protected where = '';
	protected readonly turns: TurnTaker;
	#sentCount = 0;
	/** Steady-clock time at which it was last sent, in milliseconds. */
	#sentAt: number | undefined;
	readonly #history: RunHistory;
	readonly #deadlineTimer: NodeJS.Timeout;
	readonly #unregisterLeave: () => void;

	constructor(
		protected readonly call: Call,
		protected readonly context: RunContext,
	) {
		this.#history = new RunHistory(context.instances);
		this.turns = new TurnTaker(call, context);
		this.#deadlineTimer = setTimeout(
			() => {
				const detail = 'The deadline passed.';
				this.#failByRun(
					createFailure('deadlinePassed', detail),
					this.buildRefusal('deadlineUnreachable', detail),
				);
			},
			Math.max(0, this.remainingMs()),
		);
		this.#unregisterLeave = call.caller.registerLeave(() => {
			this.#failByRun(
				createFailure('cancelled', 'The caller disconnected.'),
				createFailure('callerLeft', 'The caller ended its connection.'),
			);
		});
	}

	/** Makes an attempt, or fails the request if it must not run or no backend server is usable, and no attempt is in flight. */
	tryNextAttempt(): void {
		const isDone =
			this.isFinished ||
			this.#refuseBlocked() ||
			this.openNextAttempt() ||
			this.isInFlight();
		if (!isDone) {
			this.handleNoBackend();
		}
	}

	/** Ends the request with what is known of it, as the process is about to exit. */
	stop(): void {
		const detail = 'The gateway stopped.';
		this.#failByRun(
			createFailure('backendLost', detail),
			createFailure('stopping', detail),
		);
	}

	protected remainingMs(): number {
		return this.call.deadlineAt - this.context.readClock();
	}

	protected get attempts(): number {
		return this.#sentCount;
	}

	/** Opens an attempt at a server, once the server's limit allows it. */
	protected openInTurn(
		id: BackendId,
		open: (hasWaited: boolean) => void,
	): void {
		this.turns.take(id, this.computeMaxWaitMs(), (isGranted, hasWaited) => {
			if (this.isFinished || (hasWaited && this.#refuseBlocked())) {
				return;
			}

			// A server may have begun to leave during the wait.
			if (isGranted && (!hasWaited || this.context.fleet.isOpen(id))) {
				open(hasWaited);
			} else if (isGranted || this.turns.mayTryOthers) {
				this.tryNextAttempt();
			} else if (!this.isInFlight()) {
				this.handleNoBackend();
			}
		});
	}

	/** Finds out whether the server of a run whose connection broke has ended; calls `handleResult` at once if that decides nothing. */
	protected checkCut(run: AttemptRun, handleResult: () => void): void {
		const isAwaited = run.progress !== 'events' && isRepeatable(this.call);
		void (async () => {
			const hasEnded = await this.context.crashGuard.recordCut(this.call, run);
			if (hasEnded) {
				this.#history.recordEndedCut();
			}

			if (isAwaited && !this.isFinished) {
				handleResult();
			}
		})();

		if (!isAwaited) {
			handleResult();
		}
	}

	/** Fails the request, as no backend server is usable. */
	protected handleNoBackend(): void {
		const {service} = this.call;
		const reason = describeNoBackend(service, this.turns.fullServers);
		this.failWith(
			this.#history.mayHaveRun
				? createFailure('backendLost', 'No other backend server is left.')
				: this.buildRefusal(reason.result, reason.detail),
		);
	}

	protected countAttempt(): void {
		this.#sentCount++;
		this.#sentAt = this.context.readClock();
	}

	/** Records the end of an attempt; if it may have run, its run counts unless its instance has ended. */
	protected recordOutcome(
		outcome: AttemptEnd['outcome'],
		{sent, progress}: AttemptRun,
		detail = '',
	): void {
		const isRun = outcome !== 'notRun';
		if (isRun) {
			this.#history.add(sent);
		}

		this.context.recorder.recordAttempt(this.call, {
			outcome,
			backend: sent.id,
			where: this.where,
			detail,
			progress,
			runs: this.listCountedRuns().length,
			isUncounted: isRun && this.context.instances.hasEnded(sent),
		});
	}

	/** Whether the route allows the request to run once more, beside an attempt in flight if there is one. */
	protected canRunAgain(inFlight: readonly SentRequest[] = []): boolean {
		return (
			isRepeatable(this.call) &&
			this.listCountedRuns(inFlight).length < this.call.route.maxAttempts
		);
	}

	/** Lists the runs that count towards the route's limit. */
	protected listCountedRuns(
		inFlight: readonly SentRequest[] = [],
	): readonly SentRequest[] {
		return this.#history.listCounted(inFlight);
	}

	protected decideNext(outcome: AttemptOutcome) {
		return decideAfterAttempt(
			outcome,
			{
				sent: this.#sentCount,
				ran: this.listCountedRuns().length,
				mayHaveRun: this.#history.mayHaveRun,
			},
			{
				isRepeatable: isRepeatable(this.call),
				maxAttempts: this.call.route.maxAttempts,
				isEndingServers: this.#history.isEndingServers(() =>
					this.context.crashGuard.computeAllowedEnds(this.call),
				),
				remainingMs: this.remainingMs(),
				isAnswerStarted: this.answerStartedAt !== undefined,
			},
			() => this.context.trySpendRetry(this.call.service.name),
		);
	}

	protected buildRefusal(result: RefusalResult, detail: string): Failure {
		return buildRefusal(result, detail, {
			...this.context,
			service: this.call.service,
			roomInMs: this.turns.roomInMs,
			remainingMs: this.remainingMs(),
		});
	}

	/** Fails the request after an attempt that is not repeated. */
	protected failAfterAttempt(detail: string): void {
		this.failWith(
			this.#history.mayHaveRun
				? createFailure('backendLost', detail)
				: this.buildRefusal('queueFull', detail),
		);
	}

	protected failWith(failure: Failure): void {
		if (this.isFinished) {
			return;
		}

		writeErrorResponse(this.call.response, failure, this.context.isStopping());
		this.end({failure});
	}

	protected recordAnswerStart(): void {
		this.answerStartedAt = this.context.readClock();
		this.#recordDelay();
	}

	protected end({failure, status}: {failure?: Failure; status?: number}): void {
		if (this.isFinished) {
			return;
		}

		this.isFinished = true;
		clearTimeout(this.#deadlineTimer);
		this.#unregisterLeave();
		this.turns.cancel();
		if (this.answerStartedAt === undefined && this.isInFlight()) {
			this.#recordDelay();
		}

		this.cancelAttempts();
		this.context.admission.recordEnd(this.call);
		this.context.recorder.recordEnd(this.call, {
			failure,
			status,
			attempts: this.#sentCount,
			runs: this.listCountedRuns().length,
			where: this.where,
			answerStartedAt: this.answerStartedAt,
			sentAt: this.#sentAt,
		});
	}

	/** Whether a backend server may currently be working on the request. */
	protected abstract isInFlight(): boolean;
	/** Computes the time for which the request can wait for its turn at a server, in milliseconds; may be negative. */
	protected abstract computeMaxWaitMs(): number;
	/** Opens an attempt, at once or in turn; returns false if no backend server is usable. */
	protected abstract openNextAttempt(): boolean;
	/** Cancels the attempts in flight. */
	protected abstract cancelAttempts(): void;

	/** Records how long a model's answer took to begin, unless the request was sent more than once. */
	#recordDelay(): void {
		if (this.call.service.pipeline && this.#sentCount === 1) {
			const {admission, readClock} = this.context;
			const now = readClock();
			admission.recordDelay(this.call, now - (this.#sentAt ?? now), now);
		}
	}

	/** Fails the request in one of two ways: a server may have run it, or none has. */
	#failByRun(ran: Failure, notRun: Failure): void {
		const mayRun = this.#history.mayHaveRun || this.isInFlight();
		this.failWith(mayRun ? ran : notRun);
	}

	/** Fails the request if requests like it end servers; returns whether it did. */
	#refuseBlocked(): boolean {
		const refusal = this.context.crashGuard.findRefusal(this.call, {
			isFirstAttempt: this.#sentCount === 0,
			isStarted: this.answerStartedAt !== undefined,
		});
		if (refusal) {
			const lost = createFailure('backendLost', refusal.detail);
			this.failWith(this.#history.mayHaveRun ? lost : refusal);
		}

		return refusal !== undefined;
	}
}

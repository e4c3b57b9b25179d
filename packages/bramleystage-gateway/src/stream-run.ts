/**
 * Runs a streaming request over a path of engines. Only complete events are
 * forwarded to the caller. When a path breaks or falls silent, the stream
 * resumes on another path after the last event that the caller received.
 */
import {
	type AttemptOutcome,
	type BackendId,
	computeResumeDelayMs,
	type PathStage,
} from 'bramleystage';
import {type Call, isRepeatable} from './call.js';
import {startEngineCheck} from './engine-check.js';
import {
	formatStages,
	PathReplacement,
	type ReplacementContext,
} from './path-replacement.js';
import {recordServerState} from './server-state.js';
import {
	type StreamAnswerContext,
	StreamAnswerRun,
} from './stream-answer-run.js';
import {StreamAttempt} from './stream-attempt.js';
import {computeTurnPatienceMs} from './turn-taker.js';

/** How long a started answer waits to learn whether the engine of its last allowed run has ended, in milliseconds. */
const checkPatienceMs = 1000;

export type StreamRunContext = StreamAnswerContext &
	ReplacementContext & {
		/** Monitors a stream for silence until the returned function is called. */
		readonly registerStream: (stream: StreamRun) => () => void;
	};

export class StreamRun extends StreamAnswerRun {
	readonly #replacement: PathReplacement;
	readonly #unregister: () => void;
	#resumeTimer: NodeJS.Timeout | undefined;
	#stopEngineCheck: (() => void) | undefined;

	constructor(
		call: Call,
		protected override readonly context: StreamRunContext,
	) {
		super(call, context);
		this.#replacement = new PathReplacement(call, context);
		this.#unregister = context.registerStream(this);
	}

	/** Stages that the request currently runs on; empty if there is no attempt. */
	get path(): readonly PathStage[] {
		return this.active?.path ?? [];
	}

	/** Whether events have arrived on the current path since it was chosen. */
	get hasEvents(): boolean {
		return this.active?.hasEvents ?? false;
	}

	/** Fails over from a path that no longer answers; its later attempts avoid the suspects. */
	failOver(suspects: readonly BackendId[], detail: string): void {
		const {active} = this;
		if (this.isFinished || !active) {
			return;
		}

		for (const id of suspects) {
			this.excludedEngines.add(id);
		}

		const {fleet, crashGuard, trySpendRetry} = this.context;
		// Without another path or run the stream keeps waiting on this path, as a
		// silent engine may go on.
		const mayFailOver =
			this.canRunAgain(active.isSent ? [active.sent] : []) &&
			this.#choosePath() !== undefined &&
			!crashGuard.findRefusal(this.call, {
				isFirstAttempt: false,
				isStarted: this.answerStartedAt !== undefined,
			}) &&
			trySpendRetry(this.call.service.name);
		if (!mayFailOver) {
			const [first] = active.path;
			if (first && !fleet.health.isUnreachable(first.id)) {
				void this.#replacePath(active, first, new Set(suspects));
			}

			return;
		}

		this.cancelAttempt(active);
		this.recordOutcome(active.isSent ? 'unknown' : 'notRun', active, detail);
		this.tryNextAttempt();
	}

	protected isInFlight(): boolean {
		return this.active?.isSent ?? false;
	}

	protected openNextAttempt(): boolean {
		const path = this.#choosePath();
		const [first] = path ?? [];
		if (!path || !first) {
			return false;
		}

		this.openInTurn(first.id, (hasWaited) => {
			const {fleet} = this.context;
			const fresh = hasWaited
				? fleet.choosePathAfter(first, this.call.service, this.excludedEngines)
				: undefined;
			this.#openAttempt(fresh ?? path, first);
		});
		return true;
	}

	protected computeMaxWaitMs(): number {
		const silentMs = this.context.readClock() - this.lastProgressAt;
		return Math.min(
			this.remainingMs() - this.call.route.latencyTargetMs,
			computeTurnPatienceMs(this.call.route) - silentMs,
		);
	}

	/**
	 * Waits for a path, if the caller has received a part of the answer or if only
	 * paths are left that this request has just found unusable.
	 */
	protected override handleNoBackend(): void {
		const {fleet} = this.context;
		const isWaiting =
			this.answerStartedAt !== undefined ||
			(this.turns.fullServers.size === 0 &&
				fleet.choosePath(this.call.service, new Set(), new Set()) !==
					undefined);
		if (isWaiting) {
			this.#resumeLater();
		} else {
			super.handleNoBackend();
		}
	}

	protected cancelAttempts(): void {
		this.#unregister();
		clearTimeout(this.#resumeTimer);
		this.#stopEngineCheck?.();
		if (this.active) {
			this.cancelAttempt(this.active);
		}
	}

	protected cancelAttempt(active: StreamAttempt): void {
		active.cancel();
		if (this.active === active) {
			this.active = undefined;
		}
	}

	protected handleOutcome(
		active: StreamAttempt,
		outcome: AttemptOutcome,
		detail: string,
		isCut = false,
	): void {
		this.recordOutcome(outcome, active, detail);
		if (isCut) {
			this.checkCut(active, () => {
				this.#checkLimit(active, outcome, detail);
			});
		} else {
			this.#checkLimit(active, outcome, detail);
		}
	}

	#openAttempt(path: readonly PathStage[], first: PathStage): void {
		this.countAttempt();
		this.where = formatStages(path);
		const {call, context} = this;
		context.limits.recordSend(first.id, 'request');
		this.lastProgressAt = context.readClock();
		const active: StreamAttempt = new StreamAttempt({
			call,
			fleet: context.fleet,
			demand: context.demand,
			headers: context.headers,
			path,
			first,
			remainingMs: this.remainingMs(),
			readLinkDelayMs: context.readLinkDelayMs,
			readClock: context.readClock,
			lastEvent: this.writer.lastEvent,
			openAttempt: context.openAttempt,
			checkEnd: context.checkEnd,
			handlers: {
				onHead: (head) => {
					const metadata = context.headers.readAnswerHeaders(head.headers);
					recordServerState(this.context, active.sent, metadata, head.status);
				},
				onData: (chunk) => {
					this.handleData(active, chunk);
				},
				onEnd: () => {
					this.handleEnd(active);
				},
				onFail: (failure) => {
					this.handleFailure(active, failure);
				},
			},
		});
		this.active = active;
	}

	/** Learns which engines have ended if the route allows no further run, and goes on. */
	#checkLimit(
		active: StreamAttempt,
		outcome: AttemptOutcome,
		detail: string,
	): void {
		const isLimitReached = isRepeatable(this.call) && !this.canRunAgain();
		if (outcome === 'unknown' && isLimitReached) {
			// The limit may only seem reached: engines may have ended.
			this.#stopEngineCheck = startEngineCheck(
				{
					...this.context,
					runs: this.listCountedRuns(),
					isDecided: () => this.canRunAgain(),
					patienceMs: this.answerStartedAt === undefined ? 0 : checkPatienceMs,
				},
				() => {
					this.#handleNextStep(active, outcome, detail);
				},
			);
			return;
		}

		this.#handleNextStep(active, outcome, detail);
	}

	#choosePath() {
		return this.context.fleet.choosePath(
			this.call.service,
			this.excludedEngines,
			this.turns.fullServers,
		);
	}

	/** Moves the running request onto other stages after its first one. */
	async #replacePath(
		active: StreamAttempt,
		first: PathStage,
		suspects: ReadonlySet<BackendId>,
	): Promise<void> {
		const path = await this.#replacement.run(first, suspects);
		if (path && this.active === active) {
			active.replacePath(path);
			this.where = formatStages(path);
			this.lastProgressAt = this.context.readClock();
		}
	}

	#handleNextStep(
		active: StreamAttempt,
		outcome: AttemptOutcome,
		detail: string,
	): void {
		const step = this.decideNext(outcome);
		const isResumption = this.answerStartedAt !== undefined;
		if (step === 'wait') {
			this.#resumeLater(() =>
				this.context.trySpendRetry(this.call.service.name),
			);
		} else if (step === 'retry' && isResumption && outcome === 'notRun') {
			this.#resumeLater();
		} else if (step === 'retry') {
			this.tryNextAttempt();
		} else if (step === 'forward' && active.head) {
			this.forwardAnswer(active, active.head);
		} else {
			this.failAfterAttempt(detail);
		}
	}

	/** Makes the next attempt, over any path, after a delay that grows with each call; waits on while it is not allowed. */
	#resumeLater(tryAllow = () => true): void {
		this.delayedAttempts++;
		this.#resumeTimer = setTimeout(() => {
			if (!tryAllow()) {
				this.#resumeLater(tryAllow);
				return;
			}

			this.excludedEngines.clear();
			this.turns.clearFullServers();
			this.tryNextAttempt();
		}, computeResumeDelayMs(this.delayedAttempts));
	}
}

/**
 * Runs one request at the gateway: makes attempts at backend servers until one
 * answers, the deadline passes or the caller disconnects. Subclasses handle the
 * kind of answer.
 */
import {
	type AttemptOutcome,
	type BackendId,
	computeReturnMs,
	createFailure,
	decideAfterAttempt,
	type Failure,
	type SentRequest,
	type ServiceName,
} from 'bramleystage';
import {writeErrorResponse} from './error-response.js';
import {type Call, isRepeatable} from './call.js';
import type {Fleet} from './fleet.js';
import type {InstanceWatch} from './instance-watch.js';
import type {
	AttemptEnd,
	AttemptProgress,
	RequestRecorder,
} from './request-recorder.js';
import type {OpenTimedAttempt} from './timed-attempt.js';
import type {AnswerMetadata, HeaderPort, Headers} from './platform-port.js';

export type RunContext = {
	readonly fleet: Fleet;
	readonly instances: InstanceWatch;
	readonly openAttempt: OpenTimedAttempt;
	readonly headers: HeaderPort;
	readonly recorder: RequestRecorder;
	/** Spends one retry of the service's retry budget; returns false if none is left. */
	readonly trySpendRetry: (service: ServiceName) => boolean;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
	/** Whether the process is draining. */
	readonly isStopping: () => boolean;
	readonly drawRandom: () => number;
};

/** One run of a request at a backend server. */
export type AttemptRun = {
	readonly sent: SentRequest;
	readonly progress: AttemptProgress;
};

const msPerSecond = 1000;
/** Lowest status of a server's error. */
export const minErrorStatus = 500;
/** Status of a server that gave up at the request's deadline. */
const deadlineStatus = 504;
/** Status of a server that another one has replaced at its address. */
export const replacedStatus = 421;
/** Status of a server that refuses a request for now. */
export const refusedStatus = 503;
/** Hop-by-hop headers, which concern one connection only. */
const hopByHop = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'transfer-encoding',
	'upgrade',
]);

/** Lists the headers of an answer without the hop-by-hop ones. */
export const listEndToEndHeaders = (headers: Headers): Headers =>
	headers.filter(([name]) => !hopByHop.has(name.toLowerCase()));

/** Whether a status shows trouble of the server, and not only that the time was over. */
export const isServerError = (status: number): boolean =>
	status >= minErrorStatus && status !== deadlineStatus;

export abstract class CallRun {
	protected isFinished = false;
	protected answerStartedAt: number | undefined;
	protected where = '';
	#sentCount = 0;
	/** Attempts that may have run, in the order of their ends. */
	#runs: readonly SentRequest[] = [];
	readonly #deadlineTimer: NodeJS.Timeout;

	constructor(
		protected readonly call: Call,
		protected readonly context: RunContext,
	) {
		this.#deadlineTimer = setTimeout(
			() => {
				this.failWith(
					this.#mayHaveRun || this.isInFlight()
						? createFailure('deadlinePassed', 'The deadline passed.')
						: this.buildRefusal('deadlineUnreachable', 'The deadline passed.'),
				);
			},
			Math.max(0, this.remainingMs()),
		);
		call.response.once('close', () => {
			if (!this.isFinished) {
				this.end({
					failure: createFailure('cancelled', 'The caller disconnected.'),
				});
			}
		});
	}

	/** Makes the first attempt. */
	start(): void {
		this.tryNextAttempt();
	}

	protected remainingMs(): number {
		return this.call.deadlineAt - this.context.readClock();
	}

	protected get attempts(): number {
		return this.#sentCount;
	}

	get #mayHaveRun(): boolean {
		return this.#runs.length > 0;
	}

	/** Opens an attempt, or fails the request if no backend server is usable and no attempt is in flight. */
	protected tryNextAttempt(): void {
		if (this.isFinished || this.openNextAttempt() || this.isInFlight()) {
			return;
		}

		this.handleNoBackend();
	}

	/** Fails the request, as no backend server is usable. */
	protected handleNoBackend(): void {
		const result = this.call.service.pipeline ? 'noPipeline' : 'noBackend';
		this.failWith(
			this.#mayHaveRun
				? createFailure('backendLost', 'No other backend server is left.')
				: this.buildRefusal(result, 'No backend server is usable.'),
		);
	}

	/** Counts an attempt that is about to be sent. */
	protected countAttempt(): void {
		this.#sentCount++;
	}

	/** Records what a server's answer says about its further use. */
	protected recordServerState(
		id: BackendId,
		{isLeaving, retryAfter}: AnswerMetadata,
		status: number,
	): void {
		if (isLeaving) {
			this.context.fleet.recordLeaving(id);
		}

		if (status === refusedStatus && retryAfter !== undefined) {
			this.context.fleet.health.recordPause(id, retryAfter);
		}
	}

	/** Records the end of an attempt; if it may have run, its run counts unless its instance has ended. */
	protected recordOutcome(
		outcome: AttemptEnd['outcome'],
		{sent, progress}: AttemptRun,
		detail = '',
	): void {
		const isRun = outcome !== 'notRun';
		if (isRun) {
			this.#runs = [...this.#runs, sent];
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

	/**
	 * Lists the runs that count towards the route's limit: all but those whose
	 * instance has ended. What shows its end may come later, so the list may shrink.
	 */
	protected listCountedRuns(
		inFlight: readonly SentRequest[] = [],
	): readonly SentRequest[] {
		return [...this.#runs, ...inFlight].filter(
			(run) => !this.context.instances.hasEnded(run),
		);
	}

	protected decideNext(outcome: AttemptOutcome) {
		return decideAfterAttempt(
			outcome,
			{
				sent: this.#sentCount,
				ran: this.listCountedRuns().length,
				mayHaveRun: this.#mayHaveRun,
			},
			{
				isRepeatable: isRepeatable(this.call),
				maxAttempts: this.call.route.maxAttempts,
				remainingMs: this.remainingMs(),
				isAnswerStarted: this.answerStartedAt !== undefined,
			},
			() => this.context.trySpendRetry(this.call.service.name),
		);
	}

	protected buildRefusal(
		result: 'noPipeline' | 'noBackend' | 'deadlineUnreachable' | 'queueFull',
		detail: string,
	): Failure {
		const isUnserved = result === 'noPipeline' || result === 'noBackend';
		const returnMs = computeReturnMs(
			{
				roomInMs: isUnserved
					? this.context.fleet.computePauseMs(this.call.service)
					: undefined,
				remainingMs: this.remainingMs(),
			},
			this.context.drawRandom,
		);
		return createFailure(result, detail, {
			retryAfterSeconds: returnMs / msPerSecond,
		});
	}

	/** Fails the request after an attempt that is not repeated. */
	protected failAfterAttempt(detail: string): void {
		this.failWith(
			this.#mayHaveRun
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

	protected end({failure, status}: {failure?: Failure; status?: number}): void {
		if (this.isFinished) {
			return;
		}

		this.isFinished = true;
		clearTimeout(this.#deadlineTimer);
		this.cancelAttempts();
		this.context.recorder.recordEnd(this.call, {
			failure,
			status,
			attempts: this.#sentCount,
			runs: this.listCountedRuns().length,
			where: this.where,
			firstMs:
				this.answerStartedAt === undefined
					? undefined
					: this.answerStartedAt - this.call.arrivedAt,
		});
	}

	/** Whether a backend server may currently be working on the request. */
	protected abstract isInFlight(): boolean;
	/** Opens an attempt; returns false if no backend server is usable. */
	protected abstract openNextAttempt(): boolean;
	/** Cancels the attempts in flight. */
	protected abstract cancelAttempts(): void;
}

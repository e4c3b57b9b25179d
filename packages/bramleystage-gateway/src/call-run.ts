/**
 * The life of one request at the gateway: attempts at backend servers until one
 * gives a good answer, the time is up or the caller is gone. What kind of
 * answer there is to wait for is left to the subclasses.
 */
import {
	type AttemptHistory,
	type AttemptOutcome,
	createFailure,
	decideNextStep,
	type Failure,
	type ServiceName,
} from 'bramleystage';
import {writeFinalFailure} from './answers.js';
import {type Call, isRepeatable} from './call.js';
import type {Fleet} from './fleet.js';
import type {Journal} from './journal.js';
import type {HeaderPort, Headers} from './platform-port.js';

export type DeskContext = {
	readonly fleet: Fleet;
	readonly headers: HeaderPort;
	readonly journal: Journal;
	/** Spends a repeat of the fleet's budget, if there is one. */
	readonly tryRepeat: (service: ServiceName) => boolean;
	readonly readClock: () => number;
	/** Whether the process is stopping. */
	readonly isStopping: () => boolean;
};

/** When a caller may usefully come back after a refusal, in seconds. */
const retryAfterSeconds = 0.4;
/** Headers that concern one connection only. */
const hopByHop = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'transfer-encoding',
	'upgrade',
]);

/** Headers of an answer without those of one connection. */
export const listEndToEnd = (headers: Headers): Headers =>
	headers.filter(([name]) => !hopByHop.has(name.toLowerCase()));

export abstract class CallRun {
	protected isOver = false;
	protected firstAt: number | undefined;
	protected where = '';
	#history: AttemptHistory = {sent: 0, ran: 0, mayHaveRun: false};
	readonly #dueTimer: NodeJS.Timeout;

	constructor(
		protected readonly call: Call,
		protected readonly desk: DeskContext,
	) {
		this.#dueTimer = setTimeout(
			() => {
				this.failWith(
					this.#history.mayHaveRun || this.isInFlight()
						? createFailure('deadlinePassed', 'The deadline passed.')
						: this.buildRefusal('deadlineUnreachable', 'The deadline passed.'),
				);
			},
			Math.max(0, this.remainingMs()),
		);
		call.response.once('close', () => {
			if (!this.isOver) {
				this.end({
					failure: createFailure('cancelled', 'The caller went away.'),
				});
			}
		});
	}

	/** Makes the first attempt. */
	start(): void {
		this.tryNext();
	}

	protected remainingMs(): number {
		return this.call.dueAt - this.desk.readClock();
	}

	protected get attempts(): number {
		return this.#history.sent;
	}

	/** Opens an attempt, or refuses if there is nowhere to send it. */
	protected tryNext(): void {
		if (this.isOver || this.openNext() || this.isInFlight()) {
			return;
		}

		const result = this.call.service.pipeline ? 'noPipeline' : 'noBackend';
		this.failWith(
			this.#history.mayHaveRun
				? createFailure('backendLost', 'No other backend server is left.')
				: this.buildRefusal(result, 'No backend server is usable.'),
		);
	}

	/** Records that an attempt goes out. */
	protected recordSend(): void {
		this.#history = {...this.#history, sent: this.#history.sent + 1};
	}

	/** Records the end of an attempt that gave no good answer; `isGone` if its server ended. */
	protected recordOutcome(
		outcome: AttemptOutcome,
		isGone: boolean,
		detail: string,
	): void {
		this.desk.journal.recordAttempt(this.call, outcome, this.where, detail);
		if (outcome !== 'notRun') {
			const {ran} = this.#history;
			this.#history = {
				...this.#history,
				ran: isGone ? ran : ran + 1,
				mayHaveRun: true,
			};
		}
	}

	/** Whether one more run would stay within the attempts of the route. */
	protected canRunAgain(): boolean {
		const {maxAttempts} = this.call.route;
		return isRepeatable(this.call) && this.#history.ran + 1 < maxAttempts;
	}

	protected decideNext(outcome: AttemptOutcome) {
		return decideNextStep(
			outcome,
			this.#history,
			{
				isRepeatable: isRepeatable(this.call),
				maxAttempts: this.call.route.maxAttempts,
				remainingMs: this.remainingMs(),
			},
			() => this.desk.tryRepeat(this.call.service.name),
		);
	}

	protected buildRefusal(
		result: 'noPipeline' | 'noBackend' | 'deadlineUnreachable' | 'queueFull',
		detail: string,
	): Failure {
		return createFailure(result, detail, {retryAfterSeconds});
	}

	/** Gives the final word after an attempt that is not repeated. */
	protected giveUp(detail: string): void {
		this.failWith(
			this.#history.mayHaveRun
				? createFailure('backendLost', detail)
				: this.buildRefusal('queueFull', detail),
		);
	}

	protected failWith(failure: Failure): void {
		if (this.isOver) {
			return;
		}

		writeFinalFailure(this.call.response, failure, this.desk.isStopping());
		this.end({failure});
	}

	protected end({failure, status}: {failure?: Failure; status?: number}): void {
		if (this.isOver) {
			return;
		}

		this.isOver = true;
		clearTimeout(this.#dueTimer);
		this.cancelAttempts();
		this.desk.journal.recordEnd(this.call, {
			failure,
			status,
			attempts: this.#history.sent,
			where: this.where,
			firstMs:
				this.firstAt === undefined
					? undefined
					: this.firstAt - this.call.arrivedAt,
		});
	}

	/** Whether a backend server may be at work on the request now. */
	protected abstract isInFlight(): boolean;
	/** Opens an attempt; tells whether there is anywhere to send it. */
	protected abstract openNext(): boolean;
	/** Ends what is in flight. */
	protected abstract cancelAttempts(): void;
}

/**
 * Engines in memory, on virtual time. Each holds all layers and streams events;
 * a schedule of troubles makes them break answers off, spoil their reports, pause,
 * end, start again and leave.
 */
import {type Backend, type BackendId, waitFor} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import type {AttemptHandlers} from '../attempt.js';
import type {EngineFailure, EngineReport} from '../platform-port.js';
import type {OpenTimedAttempt} from '../timed-attempt.js';

export type TroubleKind =
	/** Breaks off the answers in progress, and reports nonsense for a while. */
	| 'spoil'
	/** Breaks off the answers in progress. */
	| 'cut'
	/** Sends nothing for a while and goes on. */
	| 'pause'
	/** Ends; connections are refused from then on. */
	| 'end'
	/** Ends and starts again after a while under the same id. */
	| 'restart'
	/** Says that it leaves, and later refuses connections, but runs the requests that it has to their ends. */
	| 'leave';

export type Trouble = {
	readonly kind: TroubleKind;
	/** Index of the engine. */
	readonly engine: number;
	/** Time from the begin, in milliseconds. */
	readonly at: number;
	/** Length of a pause, of the time of spoiled reports, or until a restart or a closed listener, in milliseconds. */
	readonly forMs: number;
};

/** One run of the request at one instance. */
export type SimulatedRun = {
	readonly id: BackendId;
	readonly bornAt: number;
};

/** Delay of a connection, an answer's head and a report, in milliseconds. */
const replyMs = 3;
/** Least time for which a leaving engine accepts connections, in milliseconds. */
const minServingMs = 2000;
/** Pause between two events, in milliseconds. */
const eventIntervalMs = 25;
export const eventCount = 140;

type Stream = {
	readonly handlers: AttemptHandlers;
	nextEvent: number;
	isOpen: boolean;
};

export class SimulatedEngine {
	readonly runs: SimulatedRun[] = [];
	isLeaving = false;
	#bornAt = 1;
	#hasEnded = false;
	#isListening = true;
	#pausedUntil = 0;
	#spoiledUntil = 0;
	#streams: Stream[] = [];

	constructor(
		private readonly listed: Backend,
		private readonly readClock: () => number,
	) {}

	get id(): BackendId {
		return this.listed.id;
	}

	/** The engine's entry in the list; undefined once it has ended. */
	get entry(): Backend | undefined {
		return this.#hasEnded
			? undefined
			: {...this.listed, bornAt: this.#bornAt, isDraining: this.isLeaving};
	}

	/** Whether it shows that it has ended: it refuses connections and did not leave. */
	get hasVisiblyEnded(): boolean {
		return this.#hasEnded && !this.isLeaving;
	}

	/** Whether an instance still runs. */
	isRunning(bornAt: number): boolean {
		return !this.#hasEnded && bornAt === this.#bornAt;
	}

	handleTrouble({kind, forMs}: Trouble): void {
		if (this.#hasEnded) {
			return;
		}

		if (kind === 'leave') {
			this.isLeaving = true;
			setTimeout(() => {
				this.#isListening = false;
			}, minServingMs + forMs);
			return;
		}

		if (kind === 'pause') {
			this.#pausedUntil = this.readClock() + forMs;
			return;
		}

		if (kind === 'spoil') {
			this.#spoiledUntil = this.readClock() + forMs;
		}

		if (kind === 'end' || kind === 'restart') {
			this.#hasEnded = true;
			this.#pausedUntil = 0;
		}

		if (kind === 'restart') {
			setTimeout(() => {
				this.#bornAt++;
				this.#hasEnded = false;
			}, forMs);
		}

		for (const stream of this.#streams.splice(0)) {
			stream.isOpen = false;
			stream.handlers.onFail({
				isSent: true,
				isRefused: false,
				detail: 'The connection closed during the answer.',
			});
		}
	}

	async readReport(
		timeoutMs: number,
	): Promise<Result<EngineReport, EngineFailure>> {
		await waitFor(replyMs);
		if (this.#hasEnded || !this.#isListening) {
			return err({kind: 'refused', detail: 'connect ECONNREFUSED'});
		}

		if (this.#isPaused()) {
			await waitFor(timeoutMs - replyMs);
			return err({kind: 'lost', detail: 'No answer.'});
		}

		if (this.readClock() < this.#spoiledUntil) {
			return err({kind: 'malformed', detail: 'Unexpected end of JSON input'});
		}

		return ok({
			orderCount: 0,
			isBusy: false,
			queued: 0,
			running: 1,
			cacheUsed: 0,
			cacheTotal: 100,
			slowness: 1,
			stalled: [],
			bornAt: this.#bornAt,
			isLeaving: this.isLeaving,
		});
	}

	/** Accepts a request that goes on after the given event. */
	open(lastEvent: number, handlers: AttemptHandlers) {
		const stream: Stream = {
			handlers,
			nextEvent: lastEvent + 1,
			isOpen: true,
		};
		let isSent = false;
		void (async () => {
			await waitFor(replyMs);
			if (!stream.isOpen) {
				return;
			}

			if (this.#hasEnded || !this.#isListening) {
				stream.isOpen = false;
				handlers.onFail({
					isSent: false,
					isRefused: true,
					detail: 'connect ECONNREFUSED',
				});
				return;
			}

			isSent = true;
			this.runs.push({id: this.listed.id, bornAt: this.#bornAt});
			this.#streams.push(stream);
			await this.#sendEvents(stream);
		})();

		return {
			cancel: () => {
				stream.isOpen = false;
				this.#streams = this.#streams.filter((other) => other !== stream);
			},
			isSent: () => isSent,
		};
	}

	#isPaused(): boolean {
		return this.readClock() < this.#pausedUntil;
	}

	async #sendEvents(stream: Stream): Promise<void> {
		let isHeadSent = false;
		while (stream.isOpen && stream.nextEvent <= eventCount) {
			await waitFor(eventIntervalMs);
			if (!stream.isOpen || this.#isPaused()) {
				continue;
			}

			if (!isHeadSent) {
				isHeadSent = true;
				stream.handlers.onHead({status: 200, headers: []});
			}

			const number = stream.nextEvent++;
			stream.handlers.onData(
				Buffer.from(`id: ${number}\ndata: token-${number}\n\n`),
			);
		}

		if (stream.isOpen) {
			stream.isOpen = false;
			this.#streams = this.#streams.filter((other) => other !== stream);
			stream.handlers.onEnd();
		}
	}
}

/** Makes the function that opens attempts at simulated engines, which are found by address. */
export const createOpenAttempt =
	(
		engines: ReadonlyMap<string, SimulatedEngine>,
		readLastEvent: () => number,
	): OpenTimedAttempt =>
	({address}, _limit, handlers) => {
		const engine = engines.get(address);
		if (!engine) {
			throw new Error(`No engine at ${address}.`);
		}

		return engine.open(readLastEvent(), handlers);
	};

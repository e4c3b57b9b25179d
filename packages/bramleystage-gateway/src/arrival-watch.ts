/**
 * Follows the turns of the event loop while callers' connections and requests arrive, to know
 * how old they are. The kernel hands over one connection in each turn, so the rest waits; what
 * a new connection has sent is read in the turn after.
 */
import type {Acceptance} from './caller-connection.js';

export type ArrivalWatchOptions = {
	/** Measures for how long input that is read now may have waited, in milliseconds. */
	readonly measureUnreadMs: (now: number) => number;
	/** Calls back after the event loop has looked for input once more. */
	readonly waitForTurn: (callback: () => void) => void;
	readonly readClock: () => number;
	/** Called when something arrives after a time without arrivals. */
	readonly onStart: (now: number) => void;
	/** Calls back after some milliseconds. */
	readonly waitForTime: (callback: () => void, ms: number) => void;
	/** Called at the end of each turn, with whether anything arrived in it; returns what is left to do. */
	readonly handleTurn: (hasInput: boolean, now: number) => WorkLeft;
};

/** What is left to do after a turn: nothing, what can be done at once, or what waits for running work. */
export type WorkLeft = 'nothing' | 'ready' | 'blocked';

/** Time between two looks at work that waits for running work, in milliseconds. */
const blockedCheckMs = 5;

export class ArrivalWatch {
	#isActive = false;
	/** Number of the present turn, counted while something is to do. */
	#turn = 0;
	/** Whether this turn has read a request. */
	#hasRead = false;
	/** Whether this turn has accepted a connection. */
	#hasAccepted = false;
	/** Steady-clock time of the end of the last turn, in milliseconds. */
	#turnAt = 0;
	/** Steady-clock time after which all connections that are still to be accepted were opened, in milliseconds. */
	#acceptedUntil = 0;

	constructor(private readonly options: ArrivalWatchOptions) {}

	/** Records that a connection was accepted. */
	recordConnection(now: number): Acceptance {
		this.#start(now);
		this.#hasAccepted = true;
		return {
			turn: this.#turn,
			openedAfter: Math.min(
				this.#acceptedUntil,
				now - this.options.measureUnreadMs(now),
			),
		};
	}

	/** Records that a request was read; returns the earliest steady-clock time at which it may have arrived, in milliseconds. */
	recordRequest(acceptance: Acceptance, now: number): number {
		this.recordInput(now);
		const arrivedAfter = now - this.options.measureUnreadMs(now);
		return this.#turn - acceptance.turn <= 1
			? Math.min(arrivedAfter, acceptance.openedAfter)
			: arrivedAfter;
	}

	/** Records that something else of a caller was read. */
	recordInput(now: number): void {
		this.#start(now);
		this.#hasRead = true;
	}

	#start(now: number): void {
		if (!this.#isActive) {
			this.#isActive = true;
			this.#turnAt = now;
			this.#acceptedUntil = now - this.options.measureUnreadMs(now);
			this.options.onStart(now);
			this.#waitForTurn();
		}
	}

	#waitForTurn(isBlocked = false): void {
		const {waitForTurn, waitForTime, readClock} = this.options;
		const handleTurn = () => {
			this.#handleTurn(readClock());
		};

		if (isBlocked) {
			waitForTime(handleTurn, blockedCheckMs);
		} else {
			waitForTurn(handleTurn);
		}
	}

	#handleTurn(now: number): void {
		const hasInput = this.#hasRead || this.#hasAccepted;
		if (!this.#hasAccepted) {
			this.#acceptedUntil = this.#turnAt;
		}

		this.#hasRead = false;
		this.#hasAccepted = false;
		this.#turn++;
		const workLeft = this.options.handleTurn(hasInput, now);
		this.#isActive = hasInput || workLeft !== 'nothing';
		if (this.#isActive) {
			this.#turnAt = this.options.readClock();
			this.#waitForTurn(!hasInput && workLeft === 'blocked');
		}
	}
}

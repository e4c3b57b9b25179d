/**
 * A clock of the time in which this process ran. A process that was paused or
 * busy has frames that wait to be read, so the time that it did not run must
 * not count as silence of its peers.
 */
import type {Milliseconds} from '../protocol/decision.js';

/** A gap between two ticks counts as this many intervals at most. */
const maxIntervals = 2;

export class AwakeClock {
	#awake: Milliseconds = 0;
	#lastTick: Milliseconds;

	constructor(
		private readonly intervalMs: Milliseconds,
		now: Milliseconds,
	) {
		this.#lastTick = now;
	}

	/** Reads the clock; a gap since the last tick counts up to its bound. */
	read(now: Milliseconds): Milliseconds {
		const gap = now - this.#lastTick;
		return this.#awake + Math.min(gap, maxIntervals * this.intervalMs);
	}

	/** Takes one tick of this process's own timer; gives the clock. */
	advance(now: Milliseconds): Milliseconds {
		this.#awake = this.read(now);
		this.#lastTick = now;
		return this.#awake;
	}
}

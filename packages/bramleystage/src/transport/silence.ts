/**
 * How long a peer has been silent, counted in this process's own heartbeats. A
 * process that was paused or busy has frames that wait to be read, so the time
 * that it did not run counts as one heartbeat at most.
 */
export class SilenceCounter {
	#quietBeats = 0;

	/** The interval of this process's heartbeats, in milliseconds. */
	constructor(private readonly heartbeatMs: number) {}

	/** Records that something arrived. */
	recordArrival(): void {
		this.#quietBeats = 0;
	}

	/** Counts one heartbeat; gives the silence so far, in milliseconds. */
	countBeat(): number {
		this.#quietBeats++;
		return this.#quietBeats * this.heartbeatMs;
	}
}

/** Limits the log lines of a second, far more strictly for successes than for failures. */

/** Successes logged per second; more are only counted. */
const maxSuccessLinesPerSecond = 5;
/** Failures logged per second; a flood of them must not block the process. */
const maxFailureLinesPerSecond = 200;
const secondMs = 1000;

export class LineLimit {
	#windowStart = 0;
	#successLines = 0;
	#failureLines = 0;
	#omittedLines = 0;

	/** Takes one line out of this second's limit; a refused line is counted. */
	tryAcquire(kind: 'success' | 'failure', now: number): boolean {
		if (now - this.#windowStart >= secondMs) {
			this.#windowStart = now;
			this.#successLines = 0;
			this.#failureLines = 0;
		}

		const isAllowed =
			kind === 'success'
				? this.#successLines++ < maxSuccessLinesPerSecond
				: this.#failureLines++ < maxFailureLinesPerSecond;
		this.#omittedLines += isAllowed ? 0 : 1;
		return isAllowed;
	}

	/** Returns the number of lines refused since the last call. */
	takeOmittedCount(): number {
		const count = this.#omittedLines;
		this.#omittedLines = 0;
		return count;
	}
}

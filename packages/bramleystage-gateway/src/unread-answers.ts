/**
 * Bytes of answers that wait in the process for their callers to read, with a bound on
 * their sum. Past it the longest answer is broken off, so that the others go on.
 */

/** Bytes of all answers beside what the kernel's buffers hold; buffers lie outside V8's heap. */
const maxUnreadBytes = 48 * 1024 * 1024;

/** Unread bytes from which on a response counts; most answers are read at once. */
const minCountedBytes = 16 * 1024;

/** The part of a response that counts. */
export type UnreadResponse = {
	readonly writableLength: number;
	readonly once: (event: 'close', listener: () => void) => unknown;
	readonly destroy: () => unknown;
};

export class UnreadAnswers {
	/** Unread bytes of each response, as of its last write. */
	readonly #bytes = new Map<UnreadResponse, number>();
	#sum = 0;

	/** Records that bytes were written to a response; `recordBroken` is told the length of one that is broken off. */
	record(
		response: UnreadResponse,
		recordBroken: (bytes: number) => void,
	): void {
		if (!this.#bytes.has(response)) {
			if (response.writableLength < minCountedBytes) {
				return;
			}

			response.once('close', () => {
				this.#remove(response);
			});
		}

		this.#update(response);
		if (this.#sum <= maxUnreadBytes) {
			return;
		}

		// Callers may have read since the last writes.
		for (const other of this.#bytes.keys()) {
			this.#update(other);
		}

		if (this.#sum > maxUnreadBytes) {
			const [longest] = [...this.#bytes].toSorted(([, a], [, b]) => b - a);
			if (longest) {
				const [broken, bytes] = longest;
				this.#remove(broken);
				broken.destroy();
				recordBroken(bytes);
			}
		}
	}

	#update(response: UnreadResponse): void {
		const bytes = response.writableLength;
		this.#sum += bytes - (this.#bytes.get(response) ?? 0);
		this.#bytes.set(response, bytes);
	}

	#remove(response: UnreadResponse): void {
		this.#sum -= this.#bytes.get(response) ?? 0;
		this.#bytes.delete(response);
	}
}

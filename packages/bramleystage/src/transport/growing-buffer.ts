/**
 * Bytes that arrive in pieces, kept in one buffer. Its capacity doubles, so that
 * the time grows with the bytes, and pieces of a byte take no more memory than
 * large ones.
 */
export class GrowingBuffer {
	#bytes: Buffer = Buffer.alloc(0);
	#length = 0;

	get length(): number {
		return this.#length;
	}

	/** The bytes so far; valid until the next append. */
	get bytes(): Buffer {
		return this.#bytes.subarray(0, this.#length);
	}

	append(chunk: Buffer): void {
		const length = this.#length + chunk.length;
		if (this.#length === 0) {
			// A single piece is kept without a copy; it has no room that could be written.
			this.#bytes = chunk;
		} else {
			if (length > this.#bytes.length) {
				const grown = Buffer.allocUnsafe(
					Math.max(length, this.#bytes.length * 2),
				);
				this.bytes.copy(grown);
				this.#bytes = grown;
			}

			chunk.copy(this.#bytes, this.#length);
		}

		this.#length = length;
	}

	/** Removes and gives all bytes. */
	take(): Buffer {
		const {bytes} = this;
		this.#bytes = Buffer.alloc(0);
		this.#length = 0;
		return bytes;
	}
}

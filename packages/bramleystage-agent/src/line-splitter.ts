/** Splits the engine's answer into lines, in a time that grows with its bytes alone. */
import {GrowingBuffer} from 'bramleystage';

const lineFeed = 0x0a;

export class LineSplitter {
	readonly #pending = new GrowingBuffer();

	/** Bytes of the incomplete line. */
	get pendingBytes(): number {
		return this.#pending.length;
	}

	/** Appends the next bytes and gives the lines that are now complete, one at a time. */
	*append(chunk: Buffer): Generator<string> {
		let from = 0;
		for (;;) {
			const end = chunk.indexOf(lineFeed, from);
			if (end === -1) {
				break;
			}

			this.#pending.append(chunk.subarray(from, end));
			yield this.takeRest();
			from = end + 1;
		}

		if (from < chunk.length) {
			this.#pending.append(chunk.subarray(from));
		}
	}

	/** Removes and gives the incomplete line, once no more bytes follow. */
	takeRest(): string {
		return this.#pending.take().toString('utf8');
	}
}

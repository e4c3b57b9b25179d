/**
 * Bodies of answers that are held whole before any of them is forwarded, with
 * bounds on one answer and on all answers of the process.
 */
import {GrowingBuffer} from 'bramleystage';

/** Bytes of one held answer, with the costs of its pieces. */
const maxAnswerBytes = 4 * 1024 * 1024;
/** Bytes of all held answers that are incomplete; buffers lie outside V8's heap. */
const maxHeldBytes = 32 * 1024 * 1024;

/** What each piece counts beside its bytes, as its handling takes time. */
export const pieceCostBytes = 64;

export type HeldAnswer = {
	readonly body: GrowingBuffer;
	/** Bytes and costs of the pieces so far. */
	countedBytes: number;
	/** Fails the attempt that receives the answer, which removes the answer. */
	readonly reject: (detail: string) => void;
};

export class HeldAnswers {
	readonly #answers = new Set<HeldAnswer>();
	#heldBytes = 0;

	/** Takes in an answer whose head has arrived. */
	register(reject: (detail: string) => void): HeldAnswer {
		const answer = {body: new GrowingBuffer(), countedBytes: 0, reject};
		this.#answers.add(answer);
		return answer;
	}

	/** Appends bytes to an answer that has not been removed. Past the process's bound the longest answer fails. */
	append(answer: HeldAnswer, chunk: Buffer): void {
		answer.body.append(chunk);
		const cost = chunk.length + pieceCostBytes;
		answer.countedBytes += cost;
		this.#heldBytes += cost;
		if (answer.countedBytes > maxAnswerBytes) {
			answer.reject(`The answer is over ${maxAnswerBytes} bytes.`);
		} else if (this.#heldBytes > maxHeldBytes) {
			const [longest] = [...this.#answers].toSorted(
				(a, b) => b.body.length - a.body.length,
			);
			longest?.reject(
				`The answers in progress are over ${maxHeldBytes} bytes.`,
			);
		}
	}

	remove(answer: HeldAnswer): void {
		if (this.#answers.delete(answer)) {
			this.#heldBytes -= answer.countedBytes;
		}
	}
}

/**
 * How claimed calls ended, for repeats of them. Answers are dropped, oldest
 * first, past a bound on memory; that the call ran stays known.
 */
import {type ClaimEnd, createFailure} from 'bramleystage';

/** Recorded answers kept for repeats, in bytes. */
const maxAnswerBytes = 64 * 1024 * 1024;
/** Bytes that a recorded end takes besides its body. */
const endBytes = 500;

const dropped: ClaimEnd = {
	type: 'failed',
	failure: createFailure('unknownRequest', 'Its answer is no longer kept.', {
		outcome: 'ran',
	}),
};

export class ClaimEnds {
	readonly #ends = new Map<string, ClaimEnd>();
	/** Keys whose answer is kept, oldest first. */
	readonly #answered = new Set<string>();
	#bytes = 0;

	findEnd(key: string): ClaimEnd | undefined {
		return this.#ends.get(key);
	}

	record(key: string, end: ClaimEnd): void {
		this.remove(key);
		this.#ends.set(key, end);
		if (end.type === 'answered') {
			this.#answered.add(key);
			this.#bytes += measureEnd(end);
		}

		const [oldest] = this.#answered;
		if (this.#bytes > maxAnswerBytes && oldest !== undefined) {
			this.remove(oldest);
			this.#ends.set(oldest, dropped);
		}
	}

	remove(key: string): void {
		const end = this.#ends.get(key);
		this.#ends.delete(key);
		if (end && this.#answered.delete(key)) {
			this.#bytes -= measureEnd(end);
		}
	}

	/** Forgets the ends of keys that are no longer owned. */
	sweep(isOwned: (key: string) => boolean): void {
		for (const key of this.#ends.keys()) {
			if (!isOwned(key)) {
				this.remove(key);
			}
		}
	}
}

function measureEnd(end: ClaimEnd): number {
	return endBytes + (end.type === 'answered' ? end.answer.body.length : 0);
}

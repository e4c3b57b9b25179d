/**
 * Results of claimed calls, for duplicates of them. When the recorded responses
 * exceed a memory bound, the oldest are evicted; the store still knows that
 * their calls ran.
 */
import {type ClaimEnd, createFailure} from 'bramleystage';

/** Memory for recorded responses, in bytes. */
const maxAnswerBytes = 64 * 1024 * 1024;
/** Memory of a recorded result without its body, in bytes. */
const overheadBytes = 500;

const evictedEnd: ClaimEnd = {
	type: 'failed',
	failure: createFailure(
		'unknownRequest',
		'The recorded response was evicted.',
		{
			outcome: 'ran',
		},
	),
};

export class ClaimEndStore {
	readonly #ends = new Map<string, ClaimEnd>();
	/** Keys whose response is recorded, oldest first. */
	readonly #answeredKeys = new Set<string>();
	#answerBytes = 0;

	findEnd(key: string): ClaimEnd | undefined {
		return this.#ends.get(key);
	}

	record(key: string, end: ClaimEnd): void {
		this.remove(key);
		this.#ends.set(key, end);
		if (end.type === 'answered') {
			this.#answeredKeys.add(key);
			this.#answerBytes += measureEnd(end);
		}

		const [oldest] = this.#answeredKeys;
		if (this.#answerBytes > maxAnswerBytes && oldest !== undefined) {
			this.remove(oldest);
			this.#ends.set(oldest, evictedEnd);
		}
	}

	remove(key: string): void {
		const end = this.#ends.get(key);
		this.#ends.delete(key);
		if (end && this.#answeredKeys.delete(key)) {
			this.#answerBytes -= measureEnd(end);
		}
	}

	/** Removes the results of keys that are no longer owned. */
	sweep(isOwned: (key: string) => boolean): void {
		for (const key of this.#ends.keys()) {
			if (!isOwned(key)) {
				this.remove(key);
			}
		}
	}
}

function measureEnd(end: ClaimEnd): number {
	return overheadBytes + (end.type === 'answered' ? end.answer.body.length : 0);
}

/** Records when the attempts of one request may arrive at servers, for the retry budget. */
import {listRepeatTimes} from 'bramleystage';
import type {OpenTimedAttempt} from './timed-attempt.js';

/**
 * Time after its end within which an attempt that a server has not answered arrives, in
 * milliseconds: machines were seen suspended or cut off for up to 5 s.
 */
const maxLateMs = 5000;

export class RequestArrivals {
	#spent = 0;
	/** When each attempt arrives at the latest, in milliseconds. */
	readonly #latestAt: number[] = [];

	constructor(private readonly readClock: () => number) {}

	/** Lists when each repeat arrives at the latest, in milliseconds; infinite while that is unknown. */
	listRepeatTimes(): number[] {
		return listRepeatTimes({spent: this.#spent, latestAt: this.#latestAt});
	}

	recordRetry(): void {
		this.#spent++;
	}

	/** Records that the request sends nothing more. */
	recordEnd(): void {
		while (this.#latestAt.length <= this.#spent) {
			this.#latestAt.push(this.readClock());
		}
	}

	/** Opens attempts by the given function and records by when each arrives. */
	recordAttempts(openAttempt: OpenTimedAttempt): OpenTimedAttempt {
		return (request, limit, handlers) => {
			const index = this.#latestAt.push(Number.POSITIVE_INFINITY) - 1;
			const recordLatest = (lateMs: number) => {
				if (this.#latestAt[index] === Number.POSITIVE_INFINITY) {
					this.#latestAt[index] = this.readClock() + lateMs;
				}
			};

			const attempt = openAttempt(request, limit, {
				...handlers,
				onHead(head) {
					recordLatest(0);
					handlers.onHead(head);
				},
				onFail(failure) {
					recordLatest(0);
					handlers.onFail(failure);
				},
			});
			return {
				...attempt,
				cancel() {
					recordLatest(attempt.isSent() ? maxLateMs : 0);
					attempt.cancel();
				},
			};
		};
	}
}

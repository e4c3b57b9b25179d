/**
 * Whether the store answers this gateway, and how soon a failed call is repeated.
 * A gateway that the store turns away relies on any other one that is informed,
 * and tries the store again now and then.
 */
import type {Logger} from 'bramleystage';
import type {StoreFailure} from './platform-port.js';

/** Time after a failed call for which the store counts as lost, in milliseconds. */
const lostMs = 3000;
/** Longest delay between two failed calls, in milliseconds. */
const maxRetryDelayMs = 1500;

export class StoreContact {
	#failures = 0;
	#failedAt = Number.NEGATIVE_INFINITY;

	recordSuccess(): void {
		this.#failures = 0;
		this.#failedAt = Number.NEGATIVE_INFINITY;
	}

	recordFailure(now: number): void {
		this.#failures++;
		this.#failedAt = now;
	}

	/** Whether a recent call failed and none has succeeded since. */
	isLost(now: number): boolean {
		return now - this.#failedAt < lostMs;
	}

	/** Computes the delay before a failed call is repeated, in milliseconds; it doubles with each failure. */
	computeRetryDelayMs(firstDelayMs: number): number {
		return Math.min(
			maxRetryDelayMs,
			firstDelayMs * 2 ** Math.max(0, this.#failures - 1),
		);
	}
}

/** Logs when the store becomes unreachable or reachable again; returns whether it is unreachable. */
export function recordContact(
	logger: Logger,
	wasLost: boolean,
	failure: StoreFailure | undefined,
): boolean {
	if (failure && !wasLost) {
		logger.warn('store.lost', {kind: failure.kind, detail: failure.detail});
	} else if (!failure && wasLost) {
		logger.info('store.regained');
	}

	return failure !== undefined;
}

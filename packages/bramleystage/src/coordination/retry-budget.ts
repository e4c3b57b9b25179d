/**
 * Retry budget: retries may be a share of recent requests, so that a fault
 * that touches every request does not multiply the load. A small reserve lets
 * a quiet process retry too.
 */

export type RetryBudget = {
	/** Retries that may be spent now. */
	readonly available: number;
};

/** Retries earned by each request. */
const share = 0.2;
const maxAvailable = 100;
const reserve = 10;

export const createRetryBudget = (): RetryBudget => ({available: reserve});

/** Earns the share of one more request. */
export const recordRequest = ({available}: RetryBudget): RetryBudget => ({
	available: Math.min(maxAvailable, available + share),
});

/** Spends one retry, if there is one; gives the budget and whether it may be made. */
export function decideRetry(
	budget: RetryBudget,
): readonly [RetryBudget, boolean] {
	return budget.available >= 1
		? [{available: budget.available - 1}, true]
		: [budget, false];
}

/** Wait before the second retry, in milliseconds; it doubles with each further one. */
const firstBackoffMs = 25;
const maxBackoffMs = 1000;

/**
 * Computes the wait before the next attempt, in milliseconds. The first retry
 * goes at once, since it goes to another host; later ones wait longer, with
 * full jitter from a random number in [0, 1).
 */
export function computeBackoff(
	attempts: number,
	drawRandom: () => number,
): number {
	if (attempts < 2) {
		return 0;
	}

	const longest = Math.min(maxBackoffMs, firstBackoffMs * 2 ** (attempts - 2));
	return drawRandom() * longest;
}

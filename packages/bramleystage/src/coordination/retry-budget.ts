/**
 * Retry budget of one process, as a token bucket: each request earns a fraction
 * of a retry, so that a fault that affects every request doesn't multiply the
 * load. A small initial balance lets a process with few requests retry too.
 */

export type RetryBudget = {
	/** Retries that may be made now. */
	readonly available: number;
};

/** Retries earned by each request. */
const retriesPerRequest = 0.2;
const maxRetries = 100;
const initialRetries = 10;

export const createRetryBudget = (): RetryBudget => ({
	available: initialRetries,
});

/** Adds what one more request earns. */
export const recordRequest = ({available}: RetryBudget): RetryBudget => ({
	available: Math.min(maxRetries, available + retriesPerRequest),
});

/** Spends one retry if one is available. Returns the budget and whether the retry is allowed. */
export function decideRetry(
	budget: RetryBudget,
): readonly [RetryBudget, boolean] {
	return budget.available >= 1
		? [{available: budget.available - 1}, true]
		: [budget, false];
}

/** Longest wait before the second retry, in milliseconds; it doubles with each further one. */
const firstBackoffMs = 25;
const maxBackoffMs = 1000;

/**
 * Computes the wait before the next attempt, in milliseconds. The first retry is
 * sent at once, since it goes to another host. Later ones use exponential
 * backoff with full jitter; `drawRandom` returns a number in [0, 1).
 */
export function computeBackoff(
	attempts: number,
	drawRandom: () => number,
): number {
	if (attempts < 2) {
		return 0;
	}

	const maxWaitMs = Math.min(
		maxBackoffMs,
		firstBackoffMs * 2 ** (attempts - 2),
	);
	return drawRandom() * maxWaitMs;
}

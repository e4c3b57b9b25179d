/**
 * Fleet-wide retry budget: in any sliding window, the retries of all gateways
 * together are at most a ratio of their requests plus a fixed slack. Each
 * gateway counts its own requests and gets a share of the slack, so the gateways
 * exchange no messages.
 */

export type RetryWindowBounds = {
	/** Retries allowed per request. */
	readonly ratio: number;
	/** Retries that this gateway may make in addition. */
	readonly slack: number;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
};

export type RetryWindow = {
	/** Times of the requests in the window, oldest first. */
	readonly requests: readonly number[];
	/** Times of the retries in the window, oldest first. */
	readonly retries: readonly number[];
};

export const createRetryWindow = (): RetryWindow => ({
	requests: [],
	retries: [],
});

const keepRecent = (times: readonly number[], since: number) => {
	const first = times.findIndex((time) => time >= since);
	return first === -1 ? [] : times.slice(first);
};

/** Records a new request, not a retry. */
export function recordWindowRequest(
	{requests, retries}: RetryWindow,
	{windowMs}: RetryWindowBounds,
	now: number,
): RetryWindow {
	// Old times are dropped in bulk, since this runs for every request.
	const isStale = (requests[0] ?? now) < now - 2 * windowMs;
	const kept = isStale ? keepRecent(requests, now - windowMs) : requests;
	return {requests: [...kept, now], retries};
}

/** Spends one retry if the budget allows it. Returns the window and whether the retry is allowed. */
export function decideWindowRetry(
	{requests, retries}: RetryWindow,
	bounds: RetryWindowBounds,
	now: number,
): readonly [RetryWindow, boolean] {
	const since = now - bounds.windowMs;
	const recentRequests = keepRecent(requests, since);
	const recentRetries = keepRecent(retries, since);
	const allowed = bounds.ratio * recentRequests.length + bounds.slack;
	return recentRetries.length + 1 <= allowed
		? [{requests: recentRequests, retries: [...recentRetries, now]}, true]
		: [{requests: recentRequests, retries: recentRetries}, false];
}

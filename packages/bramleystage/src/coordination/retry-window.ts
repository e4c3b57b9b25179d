/**
 * The retry budget of a fleet: in any window, repeats may be a share of the
 * requests plus a fixed slack, over all gateways together. Each gateway uses a
 * part of the slack and its own requests, so that no message is needed.
 */

export type RetryWindowBounds = {
	/** Repeats allowed for each request. */
	readonly ratio: number;
	/** Repeats allowed besides, for this gateway. */
	readonly slack: number;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
};

export type RetryWindow = {
	/** Times of the requests in the window, oldest first. */
	readonly requests: readonly number[];
	/** Times of the repeats in the window, oldest first. */
	readonly repeats: readonly number[];
};

export const createRetryWindow = (): RetryWindow => ({
	requests: [],
	repeats: [],
});

const keepRecent = (times: readonly number[], since: number) => {
	const first = times.findIndex((time) => time >= since);
	return first === -1 ? [] : times.slice(first);
};

/** Records a request that a caller sent. */
export function recordWindowRequest(
	{requests, repeats}: RetryWindow,
	{windowMs}: RetryWindowBounds,
	now: number,
): RetryWindow {
	// Old times are dropped in bulk, since each request comes through here.
	const isStale = (requests[0] ?? now) < now - 2 * windowMs;
	const kept = isStale ? keepRecent(requests, now - windowMs) : requests;
	return {requests: [...kept, now], repeats};
}

/** Spends one repeat if the window has room; gives the window and whether it may be sent. */
export function decideRepeat(
	{requests, repeats}: RetryWindow,
	bounds: RetryWindowBounds,
	now: number,
): readonly [RetryWindow, boolean] {
	const since = now - bounds.windowMs;
	const recentRequests = keepRecent(requests, since);
	const recentRepeats = keepRecent(repeats, since);
	const allowed = bounds.ratio * recentRequests.length + bounds.slack;
	return recentRepeats.length + 1 <= allowed
		? [{requests: recentRequests, repeats: [...recentRepeats, now]}, true]
		: [{requests: recentRequests, repeats: recentRepeats}, false];
}

/**
 * Fleet-wide retry budget: in any sliding window, the retries of all gateways
 * together are at most a ratio of their requests plus a fixed slack. Each
 * process counts its own requests and retries here, by when they arrive; what ended
 * processes have spent is not given out again as retry-tokens.ts says.
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
	/** Times of the requests in the window and the one before it, oldest first. */
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

/** Windows for which requests are kept: those that count may lie one window back. */
const keptWindows = 2;
/** Parts of a window by which the next ones move on, where they are compared. */
const partsPerWindow = 8;

/** Counts the times, given in order, up to a time. */
function countUpTo(times: readonly number[], time: number): number {
	let [low, high] = [0, times.length];
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if ((times[middle] ?? time) <= time) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Counts the requests of the last window. */
export const countRecentRequests = (
	{requests}: Pick<RetryWindow, 'requests'>,
	windowMs: number,
	now: number,
): number => requests.length - countUpTo(requests, now - windowMs);

/**
 * Counts the requests that allow retries now. A retry may arrive in any window that
 * begins by now. The requests that count there are those in that window, in the one
 * before it or in the one half a window before it, whichever has most; so the least of
 * all these windows counts, as if no request came any more.
 */
export function countCertainRequests(
	requests: readonly number[],
	windowMs: number,
	now: number,
): number {
	const countWindow = (end: number) =>
		countUpTo(requests, end) - countUpTo(requests, end - windowMs);
	const counts = Array.from({length: partsPerWindow}, (_, part) => {
		const end = now + (part / partsPerWindow) * windowMs;
		return Math.max(
			countWindow(end),
			countWindow(end - windowMs / 2),
			countWindow(end - windowMs),
		);
	});
	const own = requests.length - countUpTo(requests, now - windowMs);
	return Math.min(own, ...counts);
}

/** Records a new request, not a retry. */
export function recordWindowRequest(
	{requests, retries}: RetryWindow,
	{windowMs}: RetryWindowBounds,
	now: number,
): RetryWindow {
	// Old times are dropped in bulk, since this runs for every request.
	const keptMs = keptWindows * windowMs;
	const isStale = (requests[0] ?? now) < now - keptMs - windowMs;
	const kept = isStale ? keepRecent(requests, now - keptMs) : requests;
	return {requests: [...kept, now], retries};
}

/** Spends one retry if the budget allows it. Returns the window and whether the retry is allowed. */
export function decideWindowRetry(
	{requests, retries}: RetryWindow,
	bounds: RetryWindowBounds,
	now: number,
): readonly [RetryWindow, boolean] {
	const since = now - bounds.windowMs;
	const recentRequests = keepRecent(
		requests,
		now - keptWindows * bounds.windowMs,
	);
	const recentRetries = keepRecent(retries, since);
	const counted = countCertainRequests(recentRequests, bounds.windowMs, now);
	const allowed = bounds.ratio * counted + bounds.slack;
	return recentRetries.length + 1 <= allowed
		? [{requests: recentRequests, retries: [...recentRetries, now]}, true]
		: [{requests: recentRequests, retries: recentRetries}, false];
}

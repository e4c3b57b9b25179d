/**
 * The retry budget of one service at one gateway as a token bucket. Nobody knows what a
 * process that has ended had spent, so a started one begins with an empty bucket, and a
 * process that ends takes its tokens with it.
 *
 * Why all gateways together stay within the ratio and the slack in every window, however
 * often they start anew: what they spend there is at most what their buckets held at its
 * beginning and what they earned since. The first is a part of the ratio of the requests in
 * the window before and of the slack, the second the rest of the ratio of the requests in
 * this window and of the slack. The sum is at most the ratio of the larger of both windows'
 * requests and the slack, if the shares of the slack add up to no more than 1.
 */

/** Part of the slack that is given out; the rest covers the time until gateways know of an added one. */
const usableSlack = 0.95;
/** Part of a window's retries that a full bucket holds; the rest is earned in the course of a window. */
const heldPart = 0.25;

/** Each token pays for one retry. */
export type RetryTokens = {
	readonly tokens: number;
	/** Share of the slack at the last update, from 0 to 1. */
	readonly share: number;
	/** Time of the last update, in milliseconds. */
	readonly updatedAt: number;
};

export type RetryTokenBounds = {
	/** Retries allowed per request. */
	readonly ratio: number;
	/** Retries that all gateways may make in a window in addition. */
	readonly slack: number;
	readonly windowMs: number;
	/** Share of the slack that belongs to this gateway, from 0 to 1. */
	readonly share: number;
};

/**
 * Creates the bucket of a process that starts: empty, unless no process of any gateway has
 * run before.
 */
export const createRetryTokens = (
	now: number,
	isFirstStart = false,
): RetryTokens => ({
	tokens: isFirstStart ? Number.POSITIVE_INFINITY : 0,
	share: 0,
	updatedAt: now,
});

/** Computes the retries beyond the ratio that this gateway may make in a window. */
export const computeOwnSlack = ({
	slack,
	share,
}: Pick<RetryTokenBounds, 'slack' | 'share'>): number =>
	usableSlack * slack * share;

/** Computes the part of its slack that a gateway earns in a window. */
function computeEarnedSlack(bounds: RetryTokenBounds): number {
	const slack = computeOwnSlack(bounds);
	return slack - Math.max(heldPart * slack, Math.min(1, slack));
}

/** Computes what a bucket holds at most; `requests` are those of the last window. */
function computeHeldTokens(bounds: RetryTokenBounds, requests: number): number {
	const slack = computeOwnSlack(bounds);
	const held = heldPart * (bounds.ratio * requests + slack);
	// A bucket that can't hold a whole token would never pay for a retry.
	return Math.max(held, Math.min(1, slack));
}

/** Adds the slack that was earned since the last update; `requests` are those of the last window. */
export function updateRetryTokens(
	{tokens, share, updatedAt}: RetryTokens,
	bounds: RetryTokenBounds,
	requests: number,
	now: number,
): RetryTokens {
	if (tokens === Number.POSITIVE_INFINITY && bounds.share === 0) {
		// A full bucket is as large as the share, once there is one.
		return {tokens, share, updatedAt: now};
	}

	// The smaller share counts, as it is not known when it changed.
	const earned = computeEarnedSlack({
		...bounds,
		share: Math.min(share, bounds.share),
	});
	return {
		tokens: Math.min(
			computeHeldTokens(bounds, requests),
			tokens + (earned * (now - updatedAt)) / bounds.windowMs,
		),
		share: bounds.share,
		updatedAt: now,
	};
}

/** Adds what a request earns. */
export const addRequestTokens = (
	bucket: RetryTokens,
	{ratio}: Pick<RetryTokenBounds, 'ratio'>,
): RetryTokens => ({
	...bucket,
	tokens: bucket.tokens + (1 - heldPart) * ratio,
});

/** Spends the token of one retry; undefined if there is none. */
export const spendRetryToken = (
	bucket: RetryTokens,
): RetryTokens | undefined =>
	bucket.tokens >= 1 ? {...bucket, tokens: bucket.tokens - 1} : undefined;

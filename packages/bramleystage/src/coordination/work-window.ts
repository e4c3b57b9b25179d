/**
 * How many calls of a service may run at a time from one process. The window has no limit
 * until answers begin so late that callers leave; then it shrinks in steps until they begin
 * in time, and grows again while they do and it is used. Servers that are only slow don't
 * shrink it, as a late answer is better than none. Late answers of calls that were sent more than once
 * say nothing about load.
 */
import type {Milliseconds} from '../protocol/decision.js';

/** Multiple of the target latency above which answers begin so late that callers may not wait for them. */
const maxDelayFactor = 2;
/** Multiple of the target latency below which more calls may run. */
const growDelayFactor = 1;
/** Weight of a new delay in the smoothed one (EWMA). */
const delayWeight = 0.1;
const shrinkFactor = 0.85;
const growFactor = 1.05;
/** Least time between two steps up, in milliseconds. */
const growIntervalMs = 100;
/** Share of the window that must be in use for it to grow. */
const usedShare = 0.8;
/** Least number of calls that may run: enough to see when answers begin in time again. */
const minLimit = 16;
/** Limit at which the window ends. */
const maxLimit = 100_000;

export type WorkWindow = {
	/** Calls that may run at a time; infinite if none has to wait. */
	readonly limit: number;
	readonly running: number;
	/** Smoothed time from sending a call until its answer began, in milliseconds. */
	readonly delayMs: Milliseconds;
	/** When the last step down and the last step of either kind were made. */
	readonly shrunkAt: Milliseconds;
	readonly changedAt: Milliseconds;
};

export const createWorkWindow = (): WorkWindow => ({
	limit: Number.POSITIVE_INFINITY,
	running: 0,
	delayMs: 0,
	shrunkAt: Number.NEGATIVE_INFINITY,
	changedAt: Number.NEGATIVE_INFINITY,
});

export const hasRoom = ({limit, running}: WorkWindow): boolean =>
	running < limit;

export const recordCallStart = (window: WorkWindow): WorkWindow => ({
	...window,
	running: window.running + 1,
});

export const recordCallEnd = (window: WorkWindow): WorkWindow => ({
	...window,
	running: window.running - 1,
});

/**
 * Records after which time the answer of a call began, or that it has not begun for that
 * time. A step down shows only in calls that were sent after it.
 */
export function recordDelay(
	window: WorkWindow,
	delayMs: Milliseconds,
	targetMs: Milliseconds,
	now: Milliseconds,
): WorkWindow {
	if (now - delayMs < window.shrunkAt) {
		return window;
	}

	const smoothedMs = window.delayMs + (delayMs - window.delayMs) * delayWeight;
	if (smoothedMs > targetMs * maxDelayFactor) {
		const used = Math.min(window.limit, window.running);
		return {
			...window,
			limit: Math.max(minLimit, used * shrinkFactor),
			delayMs: targetMs * growDelayFactor,
			shrunkAt: now,
			changedAt: now,
		};
	}

	const next = {...window, delayMs: smoothedMs};
	const mayGrow =
		smoothedMs <= targetMs * growDelayFactor &&
		window.running >= window.limit * usedShare &&
		now - window.changedAt >= growIntervalMs;
	if (!mayGrow) {
		return next;
	}

	const limit = window.limit * growFactor;
	return {
		...next,
		limit: limit > maxLimit ? Number.POSITIVE_INFINITY : limit,
		changedAt: now,
	};
}

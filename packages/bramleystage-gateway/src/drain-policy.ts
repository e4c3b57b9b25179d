/** Which calls a draining gateway still accepts, and when a refused caller may retry. */
import {createFailure, type Failure} from 'bramleystage';

/** Time after a stop signal in which all new calls are still accepted, in milliseconds: two failed readiness checks and the delay until they take effect. */
const acceptAllMs = 3000;
/** Part of the grace period that is reserved for the exit itself, in milliseconds. */
const exitReserveMs = 700;
/** Time from the exit of a process until its successor gets calls, in milliseconds: its start and the platform's next readiness check. */
const successorStartMs = 1500;
/** Least time until a refused caller retries, in milliseconds, used when another gateway accepts it at once. */
const minRetryAfterMs = 50;
/** By how much servers may turn slower while a call runs that is accepted late. */
const slowdownFactor = 2;
const msPerSecond = 1000;

export type DrainTimes = {
	/** Steady-clock time of the stop signal, in milliseconds. */
	readonly stoppingAt: number;
	/** Grace period between the stop signal and the kill, in milliseconds. */
	readonly graceMs: number;
};

/** Computes the time until which a draining gateway accepts all calls, in milliseconds. */
export const computeAcceptUntil = ({stoppingAt}: DrainTimes) =>
	stoppingAt + acceptAllMs;

/** Computes the latest time at which a draining gateway exits, in milliseconds. */
export const computeEndAt = ({stoppingAt, graceMs}: DrainTimes) =>
	stoppingAt + graceMs - exitReserveMs;

/** Computes the latest time at which the successor of a draining gateway serves, in milliseconds. */
export const computeSuccessorServingAt = (times: DrainTimes) =>
	computeEndAt(times) + successorStartMs;

/** How long a call may take, in milliseconds. */
export type CallFacts = {
	/** What its tokens say; undefined if it names none. */
	readonly namedMs: number | undefined;
	/** Longest recent call of its route; undefined if there was none. */
	readonly longestMs: number | undefined;
	readonly untilDeadlineMs: number;
};

/** Computes how long a call takes at most, in milliseconds: servers may turn slower meanwhile. */
export function computeCallMs({
	namedMs = 0,
	longestMs,
	untilDeadlineMs,
}: CallFacts): number {
	const usualMs =
		longestMs === undefined ? namedMs : Math.max(namedMs, longestMs);
	return usualMs > 0
		? Math.min(untilDeadlineMs, slowdownFactor * usualMs)
		: untilDeadlineMs;
}

/**
 * Returns a refusal if a call might outlast a draining gateway, else undefined.
 * `servingAt` is the steady-clock time at which the first other gateway serves,
 * if known; the refusal asks the caller to retry when some gateway serves.
 */
export function decideDrainRefusal(
	times: DrainTimes,
	call: {readonly estimateMs: number; readonly servingAt?: number},
	now: number,
): Failure | undefined {
	const isAccepted =
		now < computeAcceptUntil(times) ||
		now + call.estimateMs <= computeEndAt(times);
	if (isAccepted) {
		return undefined;
	}

	const servingAt = Math.min(
		computeSuccessorServingAt(times),
		call.servingAt ?? Number.POSITIVE_INFINITY,
	);
	const waitMs = Math.max(minRetryAfterMs, servingAt - now);
	return createFailure('stopping', 'The gateway is stopping.', {
		retryAfterSeconds: Math.round(waitMs) / msPerSecond,
	});
}

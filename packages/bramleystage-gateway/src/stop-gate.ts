/** Which calls a stopping gateway still takes, and when a refused caller is to come back. */
import {createFailure, type Failure} from 'bramleystage';

/** Time after a stop signal in which all new calls are still taken, in milliseconds: two missed ready checks and the way there. */
const takeAllMs = 3000;
/** Part of the grace time that is kept for the end itself, in milliseconds. */
const endReserveMs = 700;
/** Time from the end of a process until its successor gets calls, in milliseconds: its start and the platform's next ready check. */
const returnMs = 1500;
/** Least time until a refused caller comes back, in milliseconds; another gateway takes it at once. */
const leastReturnMs = 50;
const msPerSecond = 1000;

export type StopTimes = {
	/** Present time of the stop signal, in milliseconds. */
	readonly stoppingAt: number;
	/** Time between a stop signal and the kill, in milliseconds. */
	readonly graceMs: number;
};

/** Present time until which a stopping gateway takes all calls, in milliseconds. */
export const computeTakeUntil = ({stoppingAt}: StopTimes) =>
	stoppingAt + takeAllMs;

/** Present time at which a stopping gateway ends at the latest, in milliseconds. */
export const computeEndAt = ({stoppingAt, graceMs}: StopTimes) =>
	stoppingAt + graceMs - endReserveMs;

/** Present time at which the successor of a stopping gateway serves at the latest, in milliseconds. */
export const computeBackAt = (times: StopTimes) =>
	computeEndAt(times) + returnMs;

/**
 * Decides whether a stopping gateway refuses a call, which is so if the call
 * might outlast it. `servingAt` is when the first other gateway serves, as far
 * as known; the caller is told to come back when there is one to take it.
 */
export function decideStopRefusal(
	times: StopTimes,
	call: {readonly estimateMs: number; readonly servingAt?: number},
	now: number,
): Failure | undefined {
	const isTaken =
		now < computeTakeUntil(times) ||
		now + call.estimateMs <= computeEndAt(times);
	if (isTaken) {
		return undefined;
	}

	const servingAt = Math.min(
		computeBackAt(times),
		call.servingAt ?? Number.POSITIVE_INFINITY,
	);
	const waitMs = Math.max(leastReturnMs, servingAt - now);
	return createFailure('stopping', 'The gateway is stopping.', {
		retryAfterSeconds: Math.round(waitMs) / msPerSecond,
	});
}

/**
 * When a refused caller is asked to return: as soon as there may be room again,
 * at a time drawn for each caller, so that a crowd that was refused together does
 * not come back together.
 */

/** Earliest return of a refused caller, in milliseconds. */
const minReturnMs = 250;
/** Longest time over which returns are spread, in milliseconds. */
const maxSpreadMs = 1000;
/** Share of the time left that callers wait at most. */
const maxWaitShare = 1 / 3;

/**
 * Computes the time after which a refused caller should return, in milliseconds.
 * `roomInMs` is the time after which there is room, if known; `drawRandom` returns
 * a number from 0 to 1.
 */
export function computeReturnMs(
	{
		roomInMs = 0,
		remainingMs,
	}: {readonly roomInMs?: number; readonly remainingMs: number},
	drawRandom: () => number,
): number {
	const earliestMs = Math.max(minReturnMs, roomInMs);
	const spreadMs = Math.min(
		earliestMs,
		maxSpreadMs,
		Math.max(0, remainingMs * maxWaitShare - earliestMs),
	);
	return Math.ceil(earliestMs + spreadMs * drawRandom());
}

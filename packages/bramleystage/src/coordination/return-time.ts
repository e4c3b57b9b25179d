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

/** Gives refused callers times to return at the pace at which calls begin, so that they don't meet the same overload together. */
export class ReturnSchedule {
	#lastAt = Number.NEGATIVE_INFINITY;

	/** `drawRandom` returns a number from 0 to 1. */
	constructor(private readonly drawRandom: () => number) {}

	/** Takes the time after which the next refused caller should return, in milliseconds; `intervalMs` is the time between two calls that begin. */
	take(
		{
			intervalMs,
			remainingMs,
		}: {readonly intervalMs: number; readonly remainingMs: number},
		now: number,
	): number {
		const returnAt = Math.max(now + minReturnMs, this.#lastAt + intervalMs);
		const latestMs = Math.max(minReturnMs, remainingMs * maxWaitShare);
		if (returnAt - now <= latestMs) {
			this.#lastAt = returnAt;
			return Math.ceil(returnAt - now);
		}

		// Others have the places for which this caller would wait.
		return Math.ceil(
			minReturnMs + (latestMs - minReturnMs) * this.drawRandom(),
		);
	}

	/**
	 * Takes a place in a lasting shortage, and returns the time until it, in milliseconds. Calls
	 * are admitted by `share`: a caller needs the more attempts the lower it is, and returns
	 * that much later. A caller for whom no place is free in time is told a time beyond its own:
	 * asked to return before, such callers prolong the shortage.
	 */
	takePlace(
		{
			intervalMs,
			remainingMs,
			share,
		}: {
			readonly intervalMs: number;
			readonly remainingMs: number;
			readonly share: number;
		},
		now: number,
	): number {
		const latestMs = Math.max(minReturnMs, remainingMs * maxWaitShare);
		const earliestMs = Math.max(
			minReturnMs,
			Math.min(minReturnMs / share, latestMs / 2),
		);
		const returnAt = Math.max(now + earliestMs, this.#lastAt + intervalMs);
		if (returnAt - now <= latestMs) {
			this.#lastAt = returnAt;
			return Math.ceil(returnAt - now);
		}

		return Math.ceil(Math.max(latestMs, remainingMs) * (1 + this.drawRandom()));
	}
}

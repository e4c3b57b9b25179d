/** How long calls took lately, the longest ones of each kind. */

type Duration = {readonly endedAt: number; readonly durationMs: number};

/** Durations of each kind of call, the longest first, each shorter one more recent. */
export type CallDurations = ReadonlyMap<string, readonly Duration[]>;

/** Time for which a duration counts, in milliseconds. */
const keepMs = 10_000;

/** Records that a call of a kind has ended after a time, in milliseconds. */
export function recordDuration(
	durations: CallDurations,
	kind: string,
	durationMs: number,
	now: number,
): CallDurations {
	const longer = (durations.get(kind) ?? []).filter(
		(known) => known.durationMs > durationMs && now - known.endedAt < keepMs,
	);
	return new Map(durations).set(kind, [...longer, {endedAt: now, durationMs}]);
}

/** Finds the longest recent duration of a kind of call, in milliseconds; undefined if none has ended lately. */
export const findLongestDuration = (
	durations: CallDurations,
	kind: string,
	now: number,
): number | undefined =>
	durations.get(kind)?.find(({endedAt}) => now - endedAt < keepMs)?.durationMs;

/**
 * What explains that streams wait at an engine for their first events. Load pattern: a
 * first stage whose slots are taken queues requests for a second, which looked like
 * silence to all gateways at once. A wait counts as explained only while the engine
 * shows that it is alive, so a dead engine explains none.
 */

/** Time without any sign of an engine after which nothing is explained, in milliseconds: the time between two inspections, as an inspection would show no more than a sign does. */
const maxQuietMs = 150;
/** Age at which a report or a delay explains no wait any more, in milliseconds. */
const maxSignAgeMs = 2000;
/** Wait that a report of waiting requests explains, in milliseconds: about the first-event delay measured at an engine with all slots taken. */
const crowdedWaitMs = 1000;
/** Multiple of the smoothed first-event delay that counts as explained. */
const delayFactor = 2.5;
/** Longest explained wait, in milliseconds: by then another path would have answered. */
const maxExplainedMs = 3000;
/** Weight of a new first-event delay in the smoothed one (EWMA). */
const delayWeight = 0.2;

/** Signs of one engine; times are on the steady clock, in milliseconds. */
export type WaitSigns = {
	/** When it last sent anything. */
	readonly seenAt: number;
	/** Whether new requests wait there by its last report. */
	readonly hasQueue: boolean;
	/** When that report came. */
	readonly reportedAt: number;
	/** Smoothed first-event delay of the streams there, in milliseconds. */
	readonly firstEventMs: number;
	/** When a first-event delay was last recorded. */
	readonly firstEventAt: number;
};

export const noWaitSigns: WaitSigns = {
	seenAt: Number.NEGATIVE_INFINITY,
	hasQueue: false,
	reportedAt: Number.NEGATIVE_INFINITY,
	firstEventMs: 0,
	firstEventAt: Number.NEGATIVE_INFINITY,
};

/** Records that an engine has sent something. */
export const recordSign = (signs: WaitSigns, now: number): WaitSigns => ({
	...signs,
	seenAt: Math.max(signs.seenAt, now),
});

/** Records whether new requests wait at an engine by its report of a given time; an older one than the last is ignored. */
export const recordQueue = (
	signs: WaitSigns,
	hasQueue: boolean,
	reportedAt: number,
): WaitSigns =>
	reportedAt < signs.reportedAt
		? signs
		: {...recordSign(signs, reportedAt), hasQueue, reportedAt};

/** Records the first-event delay of a stream, in milliseconds. A delay that is not recent is forgotten. */
export function recordFirstEventDelay(
	signs: WaitSigns,
	delayMs: number,
	now: number,
): WaitSigns {
	const known =
		now - signs.firstEventAt <= maxSignAgeMs ? signs.firstEventMs : delayMs;
	return {
		...recordSign(signs, now),
		firstEventMs: known + (delayMs - known) * delayWeight,
		firstEventAt: now,
	};
}

/** Computes how long a wait for a first event is explained by the load of the engine, in milliseconds; 0 if it isn't. */
export function computeExplainedMs(
	{seenAt, hasQueue, reportedAt, firstEventMs, firstEventAt}: WaitSigns,
	now: number,
): number {
	if (now - seenAt > maxQuietMs) {
		return 0;
	}

	const isQueueing = hasQueue && now - reportedAt <= maxSignAgeMs;
	const delayMs = now - firstEventAt <= maxSignAgeMs ? firstEventMs : 0;
	return Math.min(
		maxExplainedMs,
		Math.max(isQueueing ? crowdedWaitMs : 0, delayFactor * delayMs),
	);
}

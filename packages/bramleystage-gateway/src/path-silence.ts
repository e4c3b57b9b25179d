/**
 * How long the streams of a path may be silent. A delay of the own network link is
 * no silence of an engine, so each limit is longer by it.
 */
import type {StreamRun} from './stream-run.js';

/** Silence after which streams that had events leave a path, in milliseconds: a new path must start within the pause that users accept. */
const minSilenceMs = 80;
/** Multiple of the usual time, between events or to the first one, that counts as silence. */
const silencePauseFactor = 2.5;
/** Multiple of the smoothed pause that counts as silence on a path with an engine that can't be reached. */
const unreachableEnginePauseFactor = 1.3;
/** Silence after which streams without an event yet leave a path, in milliseconds; longer, as prefill of a long prompt takes time. */
const firstEventSilenceMs = 350;

/** Longest silences that are no sign of a fault, in milliseconds. */
export type SilenceLimits = {
	/** Of streams that had events. */
	readonly startedMs: number;
	/** Of streams without an event yet on a path with an engine that does not answer. */
	readonly firstEventMs: number;
	/** Of streams without an event yet before their path is inspected. */
	readonly uninspectedMs: number;
	/** Of streams without an event yet on a path whose first engine reports no fault. */
	readonly unexplainedFirstEventMs: number;
	/** Of streams on a path with an engine that can't be reached. */
	readonly unreachableMs: number;
};

/** What the limits of a path depend on, in milliseconds. */
export type SilenceBasis = {
	/** Smoothed pause between events of the path. */
	readonly pauseMs: number;
	/** Smoothed time to the first event on all paths. */
	readonly firstEventMs: number;
	/** Wait for a first event that the load of the first engine explains. */
	readonly explainedMs: number;
	/** Delay of the own link. */
	readonly linkDelayMs: number;
};

/**
 * Computes the limits of a path. Under load all first events are late; a stream
 * that then left its path would only make other engines read its prompt again. A wait
 * that the load of the first engine explains is no silence of the path.
 */
export const computeSilenceLimits = ({
	pauseMs,
	firstEventMs,
	explainedMs,
	linkDelayMs,
}: SilenceBasis): SilenceLimits => ({
	startedMs: Math.max(minSilenceMs, silencePauseFactor * pauseMs) + linkDelayMs,
	firstEventMs: firstEventSilenceMs + linkDelayMs,
	uninspectedMs: Math.max(firstEventSilenceMs, explainedMs) + linkDelayMs,
	unexplainedFirstEventMs:
		Math.max(
			firstEventSilenceMs,
			silencePauseFactor * firstEventMs,
			explainedMs,
		) + linkDelayMs,
	unreachableMs: unreachableEnginePauseFactor * pauseMs + linkDelayMs,
});

/**
 * Whether the streams of one path have made no progress for too long. Streams
 * that had events on this path decide; those still in prefill count only if
 * there are no others.
 */
export function isPathSilent(
	streams: ReadonlyArray<Pick<StreamRun, 'hasEvents' | 'lastProgressAt'>>,
	{startedMs, uninspectedMs}: SilenceLimits,
	now: number,
): boolean {
	const started = streams.filter(({hasEvents}) => hasEvents);
	const areStartedSilent = started.every(
		({lastProgressAt}) => now - lastProgressAt > startedMs,
	);
	if (started.length > 0) {
		return areStartedSilent;
	}

	return streams.some(
		({lastProgressAt}) => now - lastProgressAt > uninspectedMs,
	);
}

/** What an inspection of a silent path has shown. */
export type PathInspection = {
	/** Whether some of its streams had events: if they have stopped, prefill has stopped too. */
	readonly hadEvents: boolean;
	/** Whether its events used to come fast. */
	readonly wasFast: boolean;
	/** Whether one of its engines is suspect. */
	readonly isAffected: boolean;
};

/** Whether a stream leaves its silent path. Without a suspect it leaves only a path that used to be fast, as under load all are slow. */
export function isLeaveDue(
	{hasEvents, silentMs}: {hasEvents: boolean; silentMs: number},
	{hadEvents, wasFast, isAffected}: PathInspection,
	limits: SilenceLimits,
): boolean {
	if (!isAffected && !wasFast) {
		return false;
	}

	if (hasEvents || hadEvents) {
		return silentMs > limits.startedMs;
	}

	return (
		silentMs >
		(isAffected ? limits.firstEventMs : limits.unexplainedFirstEventMs)
	);
}

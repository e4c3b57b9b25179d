/**
 * How long the streams of a path may be silent. A delay of the own network link is
 * no silence of an engine, so each limit is longer by it.
 */
import type {StreamRun} from './stream-run.js';

/** Silence after which streams that had events leave a path, in milliseconds: a new path must start within the pause that users accept. */
const minSilenceMs = 80;
/** Multiple of the smoothed pause that counts as silence on a slow path. */
const silencePauseFactor = 2.5;
/** Multiple of the smoothed pause that counts as silence on a path with an engine that can't be reached. */
const unreachableEnginePauseFactor = 1.3;
/** Silence after which streams without an event yet leave a path, in milliseconds; longer, as prefill of a long prompt takes time. */
const firstEventSilenceMs = 350;

/** Longest silences that are no sign of a fault, in milliseconds. */
export type SilenceLimits = {
	/** Of streams that had events. */
	readonly startedMs: number;
	/** Of streams without an event yet. */
	readonly firstEventMs: number;
	/** Of streams on a path with an engine that can't be reached. */
	readonly unreachableMs: number;
};

/** Computes the limits of a path from its smoothed pause between events and the delay of the own link, in milliseconds. */
export const computeSilenceLimits = (
	pauseMs: number,
	linkDelayMs: number,
): SilenceLimits => ({
	startedMs: Math.max(minSilenceMs, silencePauseFactor * pauseMs) + linkDelayMs,
	firstEventMs: firstEventSilenceMs + linkDelayMs,
	unreachableMs: unreachableEnginePauseFactor * pauseMs + linkDelayMs,
});

/**
 * Whether the streams of one path have made no progress for too long. Streams
 * that had events on this path decide; those still in prefill count only if
 * there are no others.
 */
export function isPathSilent(
	streams: ReadonlyArray<Pick<StreamRun, 'hasEvents' | 'lastProgressAt'>>,
	{startedMs, firstEventMs}: SilenceLimits,
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
		({lastProgressAt}) => now - lastProgressAt > firstEventMs,
	);
}

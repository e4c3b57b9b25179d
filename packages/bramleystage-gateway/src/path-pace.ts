/**
 * The pace of the paths: pauses between events, times to the first event, and what
 * explains a wait at a first engine. From these come the limits of silence.
 */
import {
	type BackendId,
	computeExplainedMs,
	type EngineLoadReport,
	isCrowded,
	noWaitSigns,
	type PathStage,
	recordFirstEventDelay,
	recordQueue,
	recordSign,
	type WaitSigns,
} from 'bramleystage';
import {computeSilenceLimits, type SilenceLimits} from './path-silence.js';

/** Smoothed pause below which a path counts as fast, in milliseconds. */
const fastPauseMs = 60;
/** Least pause between events that estimates assume, in milliseconds. */
const minAssumedPauseMs = 40;
/** Weight of a new pause in a path's smoothed pause (EWMA). */
const pathPauseWeight = 0.05;
/** Weight of a new pause in the smoothed pause of all paths (EWMA). */
const overallPauseWeight = 0.005;
/** Weight of a new time to the first event in the smoothed one (EWMA). */
const firstEventWeight = 0.2;

export type PathPaceOptions = {
	/** Finds the last load that an engine reported with an answer. */
	readonly findReport: (id: BackendId) => EngineLoadReport | undefined;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

export const formatPathKey = (path: readonly PathStage[]) =>
	path.map(({id, layers}) => `${id}=${layers.to}`).join(',');

export class PathPace {
	/** Smoothed pause between events of each path, in milliseconds. */
	readonly #pauses = new Map<string, number>();
	/** Smoothed pause between events of all paths, in milliseconds. */
	#overallPause = 0;
	/** Smoothed time to the first event on all paths, in milliseconds. */
	#firstEventMs = 0;
	/** What explains waits at each first engine. */
	readonly #signs = new Map<BackendId, WaitSigns>();

	constructor(private readonly options: PathPaceOptions) {}

	/** Computes the time that a number of events is expected to take, in milliseconds. */
	computeDurationMs(events: number): number {
		const pauseMs = Math.max(minAssumedPauseMs, ...this.#pauses.values());
		return this.#firstEventMs + events * pauseMs;
	}

	/** Finds the smoothed pause between events of a path, in milliseconds; 0 if there was none. */
	findPauseMs(key: string): number {
		return this.#pauses.get(key) ?? 0;
	}

	/** Whether the events of a path used to come fast. */
	wasFast(key: string): boolean {
		return (this.#pauses.get(key) ?? this.#overallPause) < fastPauseMs;
	}

	/** Records a pause between two events of a stream, in milliseconds. */
	recordPause(path: readonly PathStage[], pauseMs: number): void {
		const key = formatPathKey(path);
		const average = this.#pauses.get(key) ?? pauseMs;
		this.#pauses.set(key, average + (pauseMs - average) * pathPauseWeight);
		this.#overallPause += (pauseMs - this.#overallPause) * overallPauseWeight;
		this.#updateSigns(path[0]?.id, (signs, now) => recordSign(signs, now));
	}

	/** Records the time to the first event of a stream on its path, in milliseconds. */
	recordFirstEvent(path: readonly PathStage[], delayMs: number): void {
		this.recordWait(delayMs);
		this.#updateSigns(path[0]?.id, (signs, now) =>
			recordFirstEventDelay(signs, delayMs, now),
		);
	}

	/** Records a time without an event after which a stream left its path, in milliseconds. */
	recordWait(waitedMs: number): void {
		this.#firstEventMs += (waitedMs - this.#firstEventMs) * firstEventWeight;
	}

	/** Records how many requests wait at an engine by the report of an inspection. */
	recordQueued(id: BackendId, queued: number): void {
		this.#updateSigns(id, (signs, now) => recordQueue(signs, queued > 0, now));
	}

	/** Computes the limits of silence of a path that begins at an engine. */
	computeLimits(key: string, first: BackendId, now: number): SilenceLimits {
		return computeSilenceLimits({
			pauseMs: this.findPauseMs(key),
			firstEventMs: this.#firstEventMs,
			explainedMs: computeExplainedMs(this.#findSigns(first), now),
			linkDelayMs: this.options.readLinkDelayMs(),
		});
	}

	/** Whether an engine has sent nothing for as long as a path that begins there may be silent. */
	isQuiet(key: string, first: BackendId, now: number): boolean {
		const {startedMs} = this.computeLimits(key, first, now);
		return now - this.#findSigns(first).seenAt > startedMs;
	}

	#updateSigns(
		id: BackendId | undefined,
		update: (signs: WaitSigns, now: number) => WaitSigns,
	): void {
		if (id !== undefined) {
			const signs = this.#signs.get(id) ?? noWaitSigns;
			this.#signs.set(id, update(signs, this.options.readClock()));
		}
	}

	/** Finds the signs of an engine, with those of its last answer. */
	#findSigns(id: BackendId): WaitSigns {
		const signs = this.#signs.get(id) ?? noWaitSigns;
		const report = this.options.findReport(id);
		return report
			? recordQueue(signs, isCrowded(report), report.receivedAt)
			: signs;
	}
}

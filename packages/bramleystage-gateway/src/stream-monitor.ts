/**
 * Monitors the streams of each path for silence. Engines batch all requests, so
 * when a path fails, all its streams stop at the same time. The report of its
 * first engine then names the engine at fault, after some hundred milliseconds.
 */
import {
	type BackendId,
	type LifeCycle,
	type Logger,
	maxLinkDelayMs,
	type PathStage,
	splitBy,
} from 'bramleystage';
import type {Call} from './call.js';
import type {Fleet} from './fleet.js';
import type {InstanceWatch} from './instance-watch.js';
import {
	computeSilenceLimits,
	isLeaveDue,
	isPathSilent,
	type SilenceLimits,
} from './path-silence.js';
import type {StreamRun} from './stream-run.js';

/** How often the streams are checked, in milliseconds. */
const checkIntervalMs = 20;
/** Least time between two checks of an engine that refusals report as faulty, in milliseconds. */
const faultyEngineCheckIntervalMs = 400;
/** Timeout for an engine's report, in milliseconds; a live engine answers within a few milliseconds. */
const reportTimeoutMs = 150;
/** By how much a timer may fire early, in milliseconds. */
const timerPrecisionMs = 1;
/** Rise of the own link's delay during a report that may have made it late, in milliseconds; a sound link varies by less. */
const minDelayRiseMs = 20;
/** Least time between two inspections of one path over a sound link, in milliseconds. */
const inspectIntervalMs = 150;
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
/** Delay of the monitor's timer that shows that the event loop was blocked, in milliseconds. */
const eventLoopDelayMs = 40;

export type StreamMonitorOptions = {
	readonly fleet: Fleet;
	readonly instances: Pick<InstanceWatch, 'readReport'>;
	readonly logger: Logger;
	readonly lifeCycle: LifeCycle;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

export class StreamMonitor {
	readonly #streams = new Set<StreamRun>();
	/** Steady-clock time of the last inspection of each path or engine, in milliseconds. */
	readonly #inspectedAt = new Map<string, number>();
	/** Paths and engines whose last report may have been late only because of the own link. */
	readonly #undecided = new Set<string>();
	/** Smoothed pause between events of each path, in milliseconds. */
	readonly #pauses = new Map<string, number>();
	/** Smoothed pause between events of all paths, in milliseconds. */
	#overallPause = 0;
	/** Smoothed time to the first event on all paths, in milliseconds. */
	#firstEventMs = 0;
	#lastCheckAt: number;
	#suspendedUntil = 0;

	constructor(private readonly options: StreamMonitorOptions) {
		this.#lastCheckAt = options.readClock();
		options.lifeCycle.registerInterval(checkIntervalMs, () => {
			this.#check(options.readClock());
		});
	}

	register(stream: StreamRun): () => void {
		this.#streams.add(stream);
		return () => {
			this.#streams.delete(stream);
		};
	}

	/** Computes the longest duration that is expected of a stream, in milliseconds, from its tokens and the pace of the paths; undefined if it names none. */
	computeDurationMs({service, metadata}: Call): number | undefined {
		if (!service.pipeline || metadata.maxAnswerTokens === 0) {
			return undefined;
		}

		const pauseMs = Math.max(minAssumedPauseMs, ...this.#pauses.values());
		const events = metadata.maxAnswerTokens / service.pipeline.tokensPerEvent;
		return this.#firstEventMs + events * pauseMs;
	}

	/** Records a pause between two events of a stream, in milliseconds. */
	recordPause(path: readonly PathStage[], pauseMs: number): void {
		const key = formatPathKey(path);
		const average = this.#pauses.get(key) ?? pauseMs;
		this.#pauses.set(key, average + (pauseMs - average) * pathPauseWeight);
		this.#overallPause += (pauseMs - this.#overallPause) * overallPauseWeight;
	}

	/** Records the time to the first event of a stream on its path, in milliseconds, or that it took longer. */
	recordFirstEvent(delayMs: number): void {
		this.#firstEventMs += (delayMs - this.#firstEventMs) * firstEventWeight;
	}

	/**
	 * Checks an engine that was reported as the cause of a refusal. If it can't be
	 * reached, the silent streams on its paths fail over; if it only does not
	 * answer, they do after a longer silence.
	 */
	async checkFaultyEngine({id, address}: PathStage): Promise<void> {
		const {readClock, fleet} = this.options;
		const lastAt = this.#inspectedAt.get(id) ?? Number.NEGATIVE_INFINITY;
		if (readClock() - lastAt < faultyEngineCheckIntervalMs) {
			return;
		}

		this.#inspectedAt.set(id, readClock());
		const report = await this.#readReport(id, {id, address});
		if (!report?.isErr()) {
			return;
		}

		// An engine that accepted the connection may only be slow to report.
		const {kind, detail} = report.error;
		const isUnreachable = kind === 'unreachable' || kind === 'refused';
		fleet.health.recordFailure(
			id,
			isUnreachable ? 'unreachable' : 'slow',
			`No report: ${detail}`,
		);
		const now = readClock();
		for (const stream of this.#streams) {
			const isOnPath = stream.path.some((stage) => stage.id === id);
			const limits = this.#computeLimits(formatPathKey(stream.path));
			const limitMs = isUnreachable ? limits.unreachableMs : limits.startedMs;
			if (isOnPath && now - stream.lastProgressAt > limitMs) {
				stream.failOver([id], 'An engine on the path does not answer.');
			}
		}
	}

	#check(now: number): void {
		if (now - this.#lastCheckAt > checkIntervalMs + eventLoopDelayMs) {
			// Data that arrived while the event loop was blocked has not been read yet.
			this.#suspendedUntil = now + eventLoopDelayMs;
		}

		this.#lastCheckAt = now;
		if (now < this.#suspendedUntil) {
			return;
		}

		const active = [...this.#streams].filter(({path}) => path.length > 0);
		for (const [key, streams] of splitBy(active, ({path}) =>
			formatPathKey(path),
		)) {
			if (isPathSilent(streams, this.#computeLimits(key), now)) {
				void this.#handleSilence(key, streams);
			}
		}
	}

	#computeLimits(key: string): SilenceLimits {
		return computeSilenceLimits({
			pauseMs: this.#pauses.get(key) ?? 0,
			firstEventMs: this.#firstEventMs,
			linkDelayMs: this.options.readLinkDelayMs(),
		});
	}

	async #handleSilence(
		key: string,
		streams: readonly StreamRun[],
	): Promise<void> {
		const {readClock, readLinkDelayMs, logger} = this.options;
		const [first] = streams[0]?.path ?? [];
		const lastAt = this.#inspectedAt.get(key) ?? Number.NEGATIVE_INFINITY;
		const intervalMs = inspectIntervalMs + readLinkDelayMs();
		if (!first || readClock() - lastAt < intervalMs) {
			return;
		}

		this.#inspectedAt.set(key, readClock());
		const hadEvents = streams.some(({hasEvents}) => hasEvents);
		const wasFast = (this.#pauses.get(key) ?? this.#overallPause) < fastPauseMs;
		const suspects = await this.#findSuspects(key, first);
		logger.warn('path.silent', {
			first: first.address,
			streams: streams.length,
			pause_ms: Math.round(this.#pauses.get(key) ?? 0),
			suspects: suspects?.join(','),
			link_delay_ms: readLinkDelayMs() || undefined,
		});
		if (!suspects) {
			return;
		}

		const now = readClock();
		const limits = this.#computeLimits(key);
		for (const stream of streams) {
			const path = stream.path.map(({id}) => id);
			const isAffected = path.some((id) => suspects.includes(id));
			const silentMs = Math.round(now - stream.lastProgressAt);
			const isLeaving =
				formatPathKey(stream.path) === key &&
				isLeaveDue(
					{hasEvents: stream.hasEvents, silentMs: now - stream.lastProgressAt},
					{hadEvents, wasFast, isAffected},
					limits,
				);
			if (!isLeaving) {
				continue;
			}

			if (!stream.hasEvents && !isAffected) {
				this.recordFirstEvent(silentMs);
			}

			stream.failOver(
				isAffected ? suspects : path,
				`The path was silent for ${silentMs} ms.`,
			);
		}
	}

	/** Reads from the first engine's report which engines do not answer; undefined if the own link may have delayed it. */
	async #findSuspects(
		key: string,
		first: PathStage,
	): Promise<BackendId[] | undefined> {
		const {fleet} = this.options;
		const report = await this.#readReport(key, first);
		if (!report) {
			return fleet.health.isPaused(first.id) ? [] : undefined;
		}

		if (report.isErr()) {
			const {kind, detail} = report.error;
			const sign = kind === 'malformed' ? 'failed' : 'unreachable';
			fleet.health.recordFailure(first.id, sign, `No report: ${detail}`);
			return [first.id];
		}

		const stalled = new Set(report.value.stalled.map((item) => item.address));
		const suspects: BackendId[] = [];
		for (const item of stalled) {
			const backend = fleet.findByAddress(item);
			if (backend) {
				fleet.health.recordFailure(
					backend.id,
					'unreachable',
					'Reported as stalled.',
				);
				suspects.push(backend.id);
			}
		}

		return suspects;
	}

	/**
	 * Reads an engine's report for the inspection of a path or engine. Returns
	 * undefined if the engine is paused, or if the delay of the own link has risen meanwhile, so that the report
	 * may still be under way; the next one then gets the longest time.
	 */
	async #readReport(key: string, engine: Pick<PathStage, 'id' | 'address'>) {
		const {instances, readClock, readLinkDelayMs} = this.options;
		const startedAt = readClock();
		const delayMs = this.#undecided.delete(key)
			? maxLinkDelayMs
			: readLinkDelayMs();
		const timeoutMs = reportTimeoutMs + delayMs;
		const report = await instances.readReport(engine, timeoutMs);
		const isLate = readClock() - startedAt >= timeoutMs - timerPrecisionMs;
		const hasRisen = readLinkDelayMs() > delayMs + minDelayRiseMs;
		if (report?.isErr() && isLate && hasRisen) {
			this.#undecided.add(key);
			return undefined;
		}

		return report;
	}
}

const formatPathKey = (path: readonly PathStage[]) =>
	path.map(({id, layers}) => `${id}=${layers.to}`).join(',');

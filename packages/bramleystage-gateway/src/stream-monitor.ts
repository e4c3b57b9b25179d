/**
 * Monitors the streams of each path for silence. Engines batch all requests, so
 * when a path fails, all its streams stop at the same time. The report of its
 * first engine then names the engine at fault, after some hundred milliseconds.
 */
import {
	type BackendId,
	type LifeCycle,
	type Logger,
	type PathStage,
	splitBy,
} from 'bramleystage';
import type {Call} from './call.js';
import {EngineInspection} from './engine-inspection.js';
import type {Fleet} from './fleet.js';
import type {InstanceWatch} from './instance-watch.js';
import {formatPathKey, PathPace} from './path-pace.js';
import {isLeaveDue, isPathSilent} from './path-silence.js';
import type {StreamRun} from './stream-run.js';
import {
	type InspectedPath,
	isAffected,
	listWatchedPaths,
	toInspectedPath,
	toUnexplainedLimits,
	type WatchedPath,
} from './watched-paths.js';

/** How often the streams are checked, in milliseconds. */
const checkIntervalMs = 20;
/** Least time between two checks of an engine that refusals report as faulty, in milliseconds. */
const faultyEngineCheckIntervalMs = 400;
/** Least time between two inspections of one path, or of one engine for all paths that begin there, over a sound link, in milliseconds. */
const inspectIntervalMs = 150;
/** The same for an engine that has sent nothing at all for as long as a path may be silent, so that one that has just ended is found at once. */
const quietInspectIntervalMs = 50;
/** Least time between two log lines about one crowded engine, in milliseconds. */
const crowdedLogIntervalMs = 1000;
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
	/** Waits, one for each path and check, that the load of the first engine explained. */
	explainedCount = 0;
	readonly #streams = new Set<StreamRun>();
	/** Steady-clock time of the last inspection of each path or engine, in milliseconds. */
	readonly #inspectedAt = new Map<string, number>();
	readonly #inspection: EngineInspection;
	readonly #pace: PathPace;
	#lastCheckAt: number;
	#suspendedUntil = 0;

	constructor(private readonly options: StreamMonitorOptions) {
		this.#lastCheckAt = options.readClock();
		this.#inspection = new EngineInspection(options);
		this.#pace = new PathPace({
			...options,
			findReport: (id) => options.fleet.costs.findReport(id),
		});
		options.lifeCycle.registerInterval(checkIntervalMs, () => {
			this.#check(options.readClock());
		});
	}

	/** Counts the reports that were read for inspections. */
	get inspectionCount(): number {
		return this.#inspection.count;
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

		return this.#pace.computeDurationMs(
			metadata.maxAnswerTokens / service.pipeline.tokensPerEvent,
		);
	}

	/** Records a pause between two events of a stream, in milliseconds. */
	recordPause(path: readonly PathStage[], pauseMs: number): void {
		this.#pace.recordPause(path, pauseMs);
	}

	/** Records the time to the first event of a stream on its path, in milliseconds. */
	recordFirstEvent(delayMs: number, path: readonly PathStage[] = []): void {
		this.#pace.recordFirstEvent(path, delayMs);
	}

	/**
	 * Checks an engine that was reported as the cause of a refusal. If it can't be
	 * reached, the silent streams on its paths fail over; if it only does not
	 * answer, they do after a longer silence.
	 */
	async checkFaultyEngine({id, address}: PathStage): Promise<void> {
		const {readClock, fleet} = this.options;
		if (!this.#isDue(id, faultyEngineCheckIntervalMs, readClock())) {
			return;
		}

		this.#inspectedAt.set(id, readClock());
		const report = await this.#inspection.readReport({id, address});
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
			const limits = this.#pace.computeLimits(
				formatPathKey(stream.path),
				stream.path[0]?.id ?? id,
				now,
			);
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

		const silent: WatchedPath[] = [];
		for (const path of listWatchedPaths(this.#streams)) {
			const limits = this.#pace.computeLimits(path.key, path.first.id, now);
			const unexplained = toUnexplainedLimits(limits);
			// Another engine that can't be reached explains the wait as well as a queue does.
			const isReachable = !path.streams[0]?.path.some(({id}) =>
				this.options.fleet.health.isUnreachable(id),
			);
			if (isPathSilent(path.streams, isReachable ? limits : unexplained, now)) {
				silent.push(path);
			} else if (isPathSilent(path.streams, unexplained, now)) {
				this.#recordExplained(path, now);
			}
		}

		for (const paths of splitBy(silent, ({first}) => first.id).values()) {
			void this.#handleSilence(paths);
		}
	}

	/** Records that a path has no events because its first engine is crowded. */
	#recordExplained({first, streams}: WatchedPath, now: number): void {
		this.explainedCount++;
		const key = `crowded=${first.id}`;
		if (this.#isDue(key, crowdedLogIntervalMs, now)) {
			this.#inspectedAt.set(key, now);
			const report = this.options.fleet.costs.findReport(first.id);
			this.options.logger.info('path.crowded', {
				first: first.address,
				streams: streams.length,
				running: report?.running,
				waiting: report?.waiting,
				slots: report?.slots,
			});
		}
	}

	#isDue(key: string, intervalMs: number, now: number): boolean {
		const lastAt = this.#inspectedAt.get(key) ?? Number.NEGATIVE_INFINITY;
		return now - lastAt >= intervalMs;
	}

	/** Inspects the engine at which silent paths begin, and lets streams leave what it shows to be faulty. */
	async #handleSilence(silent: readonly WatchedPath[]): Promise<void> {
		const {readClock, readLinkDelayMs, logger} = this.options;
		const startedAt = readClock();
		const isDue = (key: string, intervalMs: number) =>
			this.#isDue(key, intervalMs + readLinkDelayMs(), startedAt);
		const paths = silent
			.filter(({key}) => isDue(key, inspectIntervalMs))
			.map((path) => toInspectedPath(path));
		const [first] = paths.map((path) => path.first);
		if (!first) {
			return;
		}

		const isQuiet = paths.some(
			({key, hadEvents}) =>
				hadEvents && this.#pace.isQuiet(key, first.id, startedAt),
		);
		const intervalMs = isQuiet ? quietInspectIntervalMs : inspectIntervalMs;
		if (!isDue(formatEngineKey(first.id), intervalMs)) {
			return;
		}

		const keys = [formatEngineKey(first.id), ...paths.map(({key}) => key)];
		for (const key of keys) {
			this.#inspectedAt.set(key, startedAt);
		}

		const {suspects, queued} =
			(await this.#inspection.findSuspects(first)) ?? {};
		if (queued !== undefined) {
			this.#pace.recordQueued(first.id, queued);
		}

		logger.warn('path.silent', {
			first: first.address,
			paths: paths.length,
			streams: paths.reduce((sum, path) => sum + path.streams.length, 0),
			pause_ms: Math.round(this.#pace.findPauseMs(paths[0]?.key ?? '')),
			suspects: suspects?.join(','),
			queued,
			link_delay_ms: readLinkDelayMs() || undefined,
		});
		if (!suspects) {
			return;
		}

		const now = readClock();
		const inspected = new Set(paths.map(({key}) => key));
		// What the report shows holds for all paths that begin at the engine.
		const others = listWatchedPaths(this.#streams)
			.filter((path) => path.first.id === first.id && !inspected.has(path.key))
			.filter(
				({key, streams}) =>
					streams.some(({path}) => isAffected(path, suspects)) &&
					isPathSilent(
						streams,
						toUnexplainedLimits(this.#pace.computeLimits(key, first.id, now)),
						now,
					),
			)
			.map((path) => toInspectedPath(path));
		for (const path of [...paths, ...others]) {
			this.#leavePath(path, suspects, now);
		}
	}

	/** Lets the streams of a silent path leave it as far as the suspects or its silence are a reason. */
	#leavePath(
		{key, first, streams, hadEvents}: InspectedPath,
		suspects: readonly BackendId[],
		now: number,
	): void {
		const limits = this.#pace.computeLimits(key, first.id, now);
		const wasFast = this.#pace.wasFast(key);
		for (const stream of streams) {
			const silentMs = now - stream.lastProgressAt;
			const isSuspect = isAffected(stream.path, suspects);
			const isLeaving =
				formatPathKey(stream.path) === key &&
				isLeaveDue(
					{hasEvents: stream.hasEvents, silentMs},
					{hadEvents, wasFast, isAffected: isSuspect},
					limits,
				);
			if (!isLeaving) {
				continue;
			}

			if (!stream.hasEvents && !isSuspect) {
				this.#pace.recordWait(silentMs);
			}

			stream.failOver(
				isSuspect ? suspects : stream.path.map(({id}) => id),
				`The path was silent for ${Math.round(silentMs)} ms.`,
			);
		}
	}
}

const formatEngineKey = (id: BackendId) => `first=${id}`;

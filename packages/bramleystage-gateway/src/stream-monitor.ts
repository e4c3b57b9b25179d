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
import type {Fleet} from './fleet.js';
import type {EnginePort} from './platform-port.js';
import type {StreamRun} from './stream-run.js';

/** How often the streams are checked, in milliseconds. */
const checkIntervalMs = 20;
/** Silence after which streams that had events leave a path, in milliseconds: a new path must start within the pause that users accept. */
const minSilenceMs = 80;
/** Multiple of the smoothed pause that counts as silence on a slow path. */
const silencePauseFactor = 2.5;
/** Multiple of the smoothed pause that counts as silence on a path with an engine that does not answer. */
const faultyEnginePauseFactor = 1.3;
/** Least time between two checks of an engine that refusals report as faulty, in milliseconds. */
const faultyEngineCheckIntervalMs = 400;
/** Silence after which streams without an event yet leave a path, in milliseconds; longer, as prefill of a long prompt takes time. */
const firstEventSilenceMs = 350;
/** Timeout for an engine's report, in milliseconds; a live engine answers within a few milliseconds. */
const reportTimeoutMs = 150;
/** Least time between two inspections of one path, in milliseconds. */
const inspectIntervalMs = 150;
/** Smoothed pause below which a path counts as fast, in milliseconds. */
const fastPauseMs = 60;
/** Least pause between events that estimates assume, in milliseconds. */
const minAssumedPauseMs = 40;
/** Weight of a new pause in a path's smoothed pause (EWMA). */
const pathPauseWeight = 0.05;
/** Weight of a new pause in the smoothed pause of all paths (EWMA). */
const overallPauseWeight = 0.005;
/** Delay of the monitor's timer that shows that the event loop was blocked, in milliseconds. */
const eventLoopDelayMs = 40;

export type StreamMonitorOptions = {
	readonly fleet: Fleet;
	readonly engines: EnginePort;
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
	/** Smoothed pause between events of each path, in milliseconds. */
	readonly #pauses = new Map<string, number>();
	/** Smoothed pause between events of all paths, in milliseconds. */
	#overallPause = 0;
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

	/** Estimates the longest duration of a call, in milliseconds, from its tokens and the pace of the paths. */
	estimateMs({service, metadata, deadlineAt, arrivedAt}: Call): number {
		if (!service.pipeline) {
			return deadlineAt - arrivedAt;
		}

		const pauseMs = Math.max(minAssumedPauseMs, ...this.#pauses.values());
		const events = metadata.maxAnswerTokens / service.pipeline.tokensPerEvent;
		return Math.min(deadlineAt - arrivedAt, events * pauseMs);
	}

	/** Records a pause between two events of a stream, in milliseconds. */
	recordPause(path: readonly PathStage[], pauseMs: number): void {
		const key = formatPathKey(path);
		const average = this.#pauses.get(key) ?? pauseMs;
		this.#pauses.set(key, average + (pauseMs - average) * pathPauseWeight);
		this.#overallPause += (pauseMs - this.#overallPause) * overallPauseWeight;
	}

	/**
	 * Checks an engine that was reported as the cause of a refusal. If it can't be
	 * reached, the silent streams on its paths fail over; if it only does not
	 * answer, they do after a longer silence.
	 */
	async checkFaultyEngine({id, address}: PathStage): Promise<void> {
		const {readClock, engines, fleet} = this.options;
		const lastAt = this.#inspectedAt.get(id) ?? Number.NEGATIVE_INFINITY;
		const isRecent = readClock() - lastAt < faultyEngineCheckIntervalMs;
		if (isRecent || fleet.health.isPaused(id)) {
			return;
		}

		this.#inspectedAt.set(id, readClock());
		const report = await engines.readReport(address, reportTimeoutMs);
		if (report.isOk()) {
			return;
		}

		// An engine that accepted the connection may only be slow to report.
		const {kind, detail} = report.error;
		const isUnreachable = kind === 'unreachable';
		fleet.health.recordFailure(
			id,
			isUnreachable ? 'unreachable' : 'slow',
			`No report: ${detail}`,
		);
		const now = readClock();
		for (const stream of this.#streams) {
			const isOnPath = stream.path.some((stage) => stage.id === id);
			const key = formatPathKey(stream.path);
			const limitMs = isUnreachable
				? faultyEnginePauseFactor * (this.#pauses.get(key) ?? 0)
				: this.#computeSilenceLimitMs(key);
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
			if (isPathSilent(streams, this.#computeSilenceLimitMs(key), now)) {
				void this.#handleSilence(key, streams);
			}
		}
	}

	/** Computes the silence after which a path counts as silent, in milliseconds. */
	#computeSilenceLimitMs(key: string): number {
		return Math.max(
			minSilenceMs,
			silencePauseFactor * (this.#pauses.get(key) ?? 0),
		);
	}

	async #handleSilence(
		key: string,
		streams: readonly StreamRun[],
	): Promise<void> {
		const {readClock, readLinkDelayMs, logger} = this.options;
		const [first] = streams[0]?.path ?? [];
		const lastAt = this.#inspectedAt.get(key) ?? Number.NEGATIVE_INFINITY;
		if (!first || readClock() - lastAt < inspectIntervalMs) {
			return;
		}

		this.#inspectedAt.set(key, readClock());
		// If streams that had events have stopped, prefill on the path has stopped too.
		const hadEvents = streams.some(({hasEvents}) => hasEvents);
		const wasFast = (this.#pauses.get(key) ?? this.#overallPause) < fastPauseMs;
		const suspects = await this.#findSuspects(first);
		logger.warn('path.silent', {
			first: first.address,
			streams: streams.length,
			pause_ms: Math.round(this.#pauses.get(key) ?? 0),
			suspects: suspects.join(','),
			link_delay_ms: Math.round(readLinkDelayMs()) || undefined,
		});
		const now = readClock();
		for (const stream of streams) {
			const isStreamSilent =
				formatPathKey(stream.path) === key &&
				now - stream.lastProgressAt >
					(stream.hasEvents || hadEvents
						? this.#computeSilenceLimitMs(key)
						: firstEventSilenceMs);
			const path = stream.path.map(({id}) => id);
			const isAffected = path.some((id) => suspects.includes(id));
			// Without a suspect, streams leave a path only if it used to be fast: under load all paths are slow.
			if (isStreamSilent && (isAffected || wasFast)) {
				const silentMs = Math.round(now - stream.lastProgressAt);
				stream.failOver(
					isAffected ? suspects : path,
					`The path was silent for ${silentMs} ms.`,
				);
			}
		}
	}

	/** Reads from the first engine's report which engines do not answer. */
	async #findSuspects({id, address}: PathStage): Promise<BackendId[]> {
		const {engines, fleet} = this.options;
		if (fleet.health.isPaused(id)) {
			return [];
		}

		const report = await engines.readReport(address, reportTimeoutMs);
		if (report.isErr()) {
			const {detail} = report.error;
			fleet.health.recordFailure(id, 'unreachable', `No report: ${detail}`);
			return [id];
		}

		if (report.value.isLeaving) {
			fleet.recordLeaving(id);
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
}

const formatPathKey = (path: readonly PathStage[]) =>
	path.map(({id, layers}) => `${id}=${layers.to}`).join(',');

/**
 * Whether the streams of one path have made no progress for too long. Streams
 * that had events on this path decide; those still in prefill count only if
 * there are no others.
 */
function isPathSilent(
	streams: readonly StreamRun[],
	silenceLimitMs: number,
	now: number,
): boolean {
	const started = streams.filter(({hasEvents}) => hasEvents);
	const areStartedSilent = started.every(
		({lastProgressAt}) => now - lastProgressAt > silenceLimitMs,
	);
	if (started.length > 0) {
		return areStartedSilent;
	}

	return streams.some(
		({lastProgressAt}) => now - lastProgressAt > firstEventSilenceMs,
	);
}

/**
 * Watches the streams of each path for silence. Engines batch all requests, so
 * when a path dies all its streams stop at once; the reports of its first
 * engine then tell which engine is at fault, some hundred milliseconds late.
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

/** How often the watch looks, in milliseconds. */
const tickMs = 20;
/** Silence after which streams that had events leave a path: a new path must start within the pause that users accept. */
const silenceMs = 80;
/** Smoothed pauses that make up a silence on a slow path. */
const silentPauses = 2.5;
/** Smoothed pauses that make up a silence on a path with an engine that does not answer. */
const namedPauses = 1.3;
/** Least time between two reports of an engine that is named in refusals, in milliseconds. */
const namedPauseMs = 400;
/** Silence after which streams without an event yet leave a path: long prompts take a while. */
const firstSilenceMs = 350;
/** Longest wait for a report; a live engine answers within a few milliseconds. */
const reportMs = 150;
/** Least time between two reports of one engine, in milliseconds. */
const inspectPauseMs = 150;
/** Smoothed pause under which a path counts as fast, in milliseconds. */
const calmPauseMs = 60;
/** Pause between events that is assumed at least, in milliseconds. */
const usualPauseMs = 40;
/** Weight of a new pause in the smoothed one. */
const pauseWeight = 0.05;
/** Weight of a new pause in the smoothed one of all paths. */
const usualWeight = 0.005;
/** Delay of the watch's own timer that shows that this process was held up, in milliseconds. */
const heldUpMs = 40;

export type StreamWatchOptions = {
	readonly fleet: Fleet;
	readonly engines: EnginePort;
	readonly logger: Logger;
	readonly lifeCycle: LifeCycle;
	readonly readClock: () => number;
};

export class StreamWatch {
	readonly #streams = new Set<StreamRun>();
	/** Present time of the last inspection of each path, in milliseconds. */
	readonly #inspectedAt = new Map<string, number>();
	/** Smoothed pause between events of each path, in milliseconds. */
	readonly #pauses = new Map<string, number>();
	/** Smoothed pause between events of all paths, in milliseconds. */
	#usualPause = 0;
	#lastTick: number;
	#blindUntil = 0;

	constructor(private readonly options: StreamWatchOptions) {
		this.#lastTick = options.readClock();
		options.lifeCycle.registerInterval(tickMs, () => {
			this.#check(options.readClock());
		});
	}

	register(stream: StreamRun): () => void {
		this.#streams.add(stream);
		return () => {
			this.#streams.delete(stream);
		};
	}

	/** Estimates the longest time that a call takes, in milliseconds, from its tokens and the paths' pace. */
	estimateMs({service, facts, dueAt, arrivedAt}: Call): number {
		if (!service.pipeline) {
			return dueAt - arrivedAt;
		}

		const pauseMs = Math.max(usualPauseMs, ...this.#pauses.values());
		const events = facts.maxAnswerTokens / service.pipeline.tokensPerEvent;
		return Math.min(dueAt - arrivedAt, events * pauseMs);
	}

	/** Records a pause between two events of a stream, in milliseconds. */
	recordPause(path: readonly PathStage[], pauseMs: number): void {
		const key = formatKey(path);
		const known = this.#pauses.get(key) ?? pauseMs;
		this.#pauses.set(key, known + (pauseMs - known) * pauseWeight);
		this.#usualPause += (pauseMs - this.#usualPause) * usualWeight;
	}

	/**
	 * Follows up an engine that was named as the reason of a refusal: asks it for
	 * a report, and moves the streams that it holds up.
	 */
	async checkNamed({id, address}: PathStage): Promise<void> {
		const {readClock, engines, fleet} = this.options;
		const lastAt = this.#inspectedAt.get(id) ?? Number.NEGATIVE_INFINITY;
		if (readClock() - lastAt < namedPauseMs) {
			return;
		}

		this.#inspectedAt.set(id, readClock());
		const report = await engines.readReport(address, reportMs);
		if (report.isOk()) {
			return;
		}

		const {detail} = report.error;
		fleet.recordTrouble(id, 'unreachable', `No report: ${detail}`);
		const now = readClock();
		for (const stream of this.#streams) {
			const isOnPath = stream.path.some((stage) => stage.id === id);
			const pauseMs = this.#pauses.get(formatKey(stream.path)) ?? 0;
			if (isOnPath && now - stream.progressAt > namedPauses * pauseMs) {
				stream.moveAway([id], 'An engine of the path does not answer.');
			}
		}
	}

	#check(now: number): void {
		if (now - this.#lastTick > tickMs + heldUpMs) {
			// What arrived meanwhile has not been read yet.
			this.#blindUntil = now + heldUpMs;
		}

		this.#lastTick = now;
		if (now < this.#blindUntil) {
			return;
		}

		const active = [...this.#streams].filter(({path}) => path.length > 0);
		for (const [key, streams] of splitBy(active, ({path}) => formatKey(path))) {
			if (isSilent(streams, this.#computeLimit(key), now)) {
				void this.#handleSilence(key, streams);
			}
		}
	}

	/** Silence of a path that is out of the ordinary, in milliseconds. */
	#computeLimit(key: string): number {
		return Math.max(silenceMs, silentPauses * (this.#pauses.get(key) ?? 0));
	}

	async #handleSilence(
		key: string,
		streams: readonly StreamRun[],
	): Promise<void> {
		const {readClock, logger} = this.options;
		const [first] = streams[0]?.path ?? [];
		const lastAt = this.#inspectedAt.get(key) ?? Number.NEGATIVE_INFINITY;
		if (!first || readClock() - lastAt < inspectPauseMs) {
			return;
		}

		this.#inspectedAt.set(key, readClock());
		// If streams that flowed have stopped, so has the reading of prompts.
		const wasFlowing = streams.some(({isFlowing}) => isFlowing);
		const isCalm = (this.#pauses.get(key) ?? this.#usualPause) < calmPauseMs;
		const suspects = await this.#findSuspects(first);
		logger.warn('path.silent', {
			first: first.address,
			streams: streams.length,
			pause_ms: Math.round(this.#pauses.get(key) ?? 0),
			suspects: suspects.join(','),
		});
		const now = readClock();
		for (const stream of streams) {
			const isStill =
				formatKey(stream.path) === key &&
				now - stream.progressAt >
					(stream.isFlowing || wasFlowing
						? this.#computeLimit(key)
						: firstSilenceMs);
			const path = stream.path.map(({id}) => id);
			const isAffected = path.some((id) => suspects.includes(id));
			// Without a suspect a path is left only if it used to be fast: a busy one is slow everywhere.
			if (isStill && (isAffected || isCalm)) {
				const silentMs = Math.round(now - stream.progressAt);
				stream.moveAway(
					isAffected ? suspects : path,
					`The path was silent for ${silentMs} ms.`,
				);
			}
		}
	}

	/** Asks the first engine which engine does not answer. */
	async #findSuspects({id, address}: PathStage): Promise<BackendId[]> {
		const {engines, fleet} = this.options;
		const report = await engines.readReport(address, reportMs);
		if (report.isErr()) {
			const {detail} = report.error;
			fleet.recordTrouble(id, 'unreachable', `No report: ${detail}`);
			return [id];
		}

		const stalled = new Set(report.value.stalled.map((item) => item.address));
		const suspects: BackendId[] = [];
		for (const item of stalled) {
			const backend = fleet.findByAddress(item);
			if (backend) {
				fleet.recordTrouble(backend.id, 'unreachable', 'Named as stalled.');
				suspects.push(backend.id);
			}
		}

		return suspects;
	}
}

const formatKey = (path: readonly PathStage[]) =>
	path.map(({id, layers}) => `${id}=${layers.to}`).join(',');

/**
 * Whether streams of one path have made no progress for too long. One that has
 * events of this path tells more than one whose prompt is still being read.
 */
function isSilent(
	streams: readonly StreamRun[],
	limitMs: number,
	now: number,
): boolean {
	const started = streams.filter(({isFlowing}) => isFlowing);
	const isStartedSilent = started.every(
		({progressAt}) => now - progressAt > limitMs,
	);
	if (started.length > 0) {
		return isStartedSilent;
	}

	return streams.some(({progressAt}) => now - progressAt > firstSilenceMs);
}

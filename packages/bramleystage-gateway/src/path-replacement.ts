/**
 * Moves one running stream onto other engines after its first one. The request
 * stays at the first engine and keeps the state that it has there.
 */
import type {BackendId, PathStage} from 'bramleystage';
import type {Call} from './call.js';
import type {Fleet} from './fleet.js';
import type {LimitWatch} from './limit-watch.js';
import type {Permits} from './permits.js';
import type {RequestRecorder} from './request-recorder.js';
import type {EnginePort} from './platform-port.js';

/** Timeout for an engine to accept another path for a request, in milliseconds. */
const replaceTimeoutMs = 300;
/** Path replacements for one stream; each has a price and makes the new engines prefill the prompt. */
const maxReplacements = 2;
/** Least time between two replacements, in milliseconds: the new engines must have prefilled the prompt. */
const minReplaceIntervalMs = 700;

export type ReplacementContext = {
	readonly fleet: Fleet;
	readonly limits: Pick<LimitWatch, 'recordSend'>;
	readonly permits: Pick<Permits, 'tryAcquire'>;
	readonly recorder: RequestRecorder;
	readonly replacePath: EnginePort['replacePath'];
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

/** Formats the stages of a path for the log, as `host:port=from-to` separated by commas. */
export const formatStages = (path: readonly PathStage[]) =>
	path
		.map(({address, layers}) => `${address}=${layers.from}-${layers.to}`)
		.join(',');

export class PathReplacement {
	#count = 0;
	/** Steady-clock time of the last replacement, in milliseconds. */
	#lastAt = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly call: Call,
		private readonly context: ReplacementContext,
	) {}

	/**
	 * Replaces the path by one without the suspects. Returns the new path, or
	 * undefined if there is none, if the limits above forbid it, or if the engine
	 * doesn't accept it. When the faulty engine is unknown, all but the first are
	 * suspects.
	 */
	async run(
		first: PathStage,
		suspects: ReadonlySet<BackendId>,
	): Promise<PathStage[] | undefined> {
		const {fleet, permits, recorder, replacePath, readClock, readLinkDelayMs} =
			this.context;
		const excluded = new Set([...suspects].filter((id) => id !== first.id));
		const path = fleet.choosePathAfter(first, this.call.service, excluded);
		const now = readClock();
		const isAllowed =
			this.#count < maxReplacements &&
			now - this.#lastAt > minReplaceIntervalMs;
		if (!path || !isAllowed || !(await permits.tryAcquire(first.id, 0))) {
			return undefined;
		}

		this.#count++;
		this.#lastAt = now;
		this.context.limits.recordSend(first.id, 'order');
		const outcome = await replacePath(first.address, {
			backend: first.id,
			request: this.call.metadata.request,
			path,
			timeoutMs: replaceTimeoutMs + readLinkDelayMs(),
		});
		const result = outcome.isOk() ? outcome.value : outcome.error.kind;
		recorder.recordReplacement(this.call, formatStages(path), result);
		return result === 'accepted' ? path : undefined;
	}
}

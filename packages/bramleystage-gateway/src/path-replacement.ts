/**
 * Orders the request of one running stream onto other engines after its first
 * one, where it goes on with all that it has.
 */
import type {BackendId, PathStage} from 'bramleystage';
import type {Call} from './call.js';
import type {Fleet} from './fleet.js';
import type {Journal} from './journal.js';
import type {EnginePort} from './platform-port.js';

/** Time for an engine to accept another path for a request, in milliseconds. */
const replaceMs = 300;
/** Orders onto another path for one stream; each is priced and makes the new engines read the prompt. */
const maxReplacements = 2;
/** Least time between two such orders, in milliseconds: the new engines must have read the prompt. */
const replacePauseMs = 700;

export type ReplacementContext = {
	readonly fleet: Fleet;
	readonly journal: Journal;
	readonly replacePath: EnginePort['replacePath'];
	readonly readClock: () => number;
};

/** Writes the stages of a path for the log. */
export const formatStages = (path: readonly PathStage[]) =>
	path
		.map(({address, layers}) => `${address}=${layers.from}-${layers.to}`)
		.join(',');

export class PathReplacement {
	#count = 0;
	/** Present time of the last order, in milliseconds. */
	#lastAt = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly call: Call,
		private readonly context: ReplacementContext,
	) {}

	/**
	 * Gives the order, if there is a path without the suspects; gives the path if
	 * the engine accepts it. Which engine is at fault may not be known; then all
	 * but the first are suspects.
	 */
	async run(
		first: PathStage,
		suspects: ReadonlySet<BackendId>,
	): Promise<PathStage[] | undefined> {
		const {fleet, journal, replacePath, readClock} = this.context;
		const excluded = new Set([...suspects].filter((id) => id !== first.id));
		const path = fleet.choosePathAfter(first, this.call.service, excluded);
		const now = readClock();
		const isAllowed =
			this.#count < maxReplacements && now - this.#lastAt > replacePauseMs;
		if (!path || !isAllowed) {
			return undefined;
		}

		this.#count++;
		this.#lastAt = now;
		const outcome = await replacePath(first.address, {
			request: this.call.facts.request,
			path,
			timeoutMs: replaceMs,
		});
		const result = outcome.isOk() ? outcome.value : outcome.error.kind;
		journal.recordReplacement(this.call, formatStages(path), result);
		return result === 'accepted' ? path : undefined;
	}
}

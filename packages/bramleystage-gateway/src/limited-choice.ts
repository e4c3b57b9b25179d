/**
 * The choice between servers that name a limit and others. Servers without a limit take
 * the work first while they have room. A small share of the requests goes to a limited
 * server all the same, as far as its limit allows: a server that is never asked can't
 * say that its limit has ended. The share is the same for every gateway, so this holds
 * however many there are and wherever callers come.
 */
import {type BackendId, pickLowest, type PathEngine} from 'bramleystage';

/** Share of the requests that go to a limited server although others have room. */
const probeShare = 0.05;
/** Cost of a first stage that is not preferred, in milliseconds: higher than that of any path. */
const unpreferredCost = 1e9;

export type LimitedChoiceOptions = {
	/** Finds the limit that a server names, in requests a second; undefined if it names none. */
	readonly findLimit: (id: BackendId) => number | undefined;
	/** Counts the requests of this gateway that wait for a turn at a server. */
	readonly countWaiting: (id: BackendId) => number;
	/** Returns a number from 0 to below 1. */
	readonly drawRandom: () => number;
};

type Server = {readonly id: BackendId};

export class LimitedChoice {
	constructor(private readonly options: LimitedChoiceOptions) {}

	isLimited(id: BackendId): boolean {
		return this.options.findLimit(id) !== undefined;
	}

	/** Whether servers take a request without a turn: none of them names a limit, or another one has room. */
	hasUnlimitedRoom<T extends Server>(
		servers: readonly T[],
		hasRoom: (server: T) => boolean,
	): boolean {
		const unlimited = servers.filter(({id}) => !this.isLimited(id));
		return (
			unlimited.length === servers.length ||
			unlimited.some((server) => hasRoom(server))
		);
	}

	/** Selects the servers among which the least loaded one is chosen. */
	selectPreferred<T extends Server>(
		servers: readonly T[],
		hasRoom: (server: T) => boolean,
	): readonly T[] {
		const limited = servers.filter(({id}) => this.isLimited(id));
		if (limited.length === 0) {
			return servers;
		}

		const unlimited = servers.filter(({id}) => !this.isLimited(id));
		const isUnlimitedPreferred =
			unlimited.some((server) => hasRoom(server)) &&
			this.options.drawRandom() >= probeShare;
		return isUnlimitedPreferred ? unlimited : this.#chooseLimited(limited);
	}

	/**
	 * Applies limits to the engines of a path, of which only the first one gets the
	 * request. Engines in `full` have no room in time and are no first stage.
	 */
	applyFirstStageLimits(
		engines: readonly PathEngine[],
		full: ReadonlySet<BackendId>,
	): readonly PathEngine[] {
		const first = engines.filter(({layers}) => layers.from === 0);
		if (!first.some(({id}) => this.isLimited(id))) {
			return engines;
		}

		const preferred = new Set(
			this.selectPreferred(
				first.filter(({id}) => !full.has(id)),
				({firstStageCost}) => Number.isFinite(firstStageCost),
			),
		);
		return engines.map((engine) => ({
			...engine,
			firstStageCost: full.has(engine.id)
				? Number.POSITIVE_INFINITY
				: engine.firstStageCost + (preferred.has(engine) ? 0 : unpreferredCost),
		}));
	}

	/** Chooses the limited server at which a turn is likely to come first. */
	#chooseLimited<T extends Server>(servers: readonly T[]): readonly T[] {
		const {findLimit, countWaiting, drawRandom} = this.options;
		const chosen = pickLowest(
			servers,
			({id}) =>
				(countWaiting(id) + drawRandom()) /
				(findLimit(id) ?? Number.POSITIVE_INFINITY),
		);
		return chosen ? [chosen] : [];
	}
}

/** For servers that name no limits. */
export const unlimitedChoice = new LimitedChoice({
	findLimit: () => undefined,
	countWaiting: () => 0,
	drawRandom: Math.random,
});

/**
 * The turns at a backend server that takes a limited rate of requests: when the next
 * request may be sent there, and which of the waiting ones it is. Turns come at an even
 * pace; unused ones don't add up. Requests wait by priority, those of one priority by
 * customers' weights (start-time fair queueing). A request is refused as soon as its turn
 * can't come in time any more, at its arrival or when others are put before it.
 */

const msPerSecond = 1000;
/** Lateness of a turn that the next one makes up for, in milliseconds, so that late timers don't lower the rate. */
const maxCatchUpMs = 50;
/** Time by which the turn of a waiting request may be late, in milliseconds: a late timer must not turn away what was accepted. */
const maxLateMs = 50;

/** A request that wants a turn; `Id` is what the caller knows it by. */
export type TurnRequest<Id> = {
	readonly id: Id;
	/** 0 comes first. */
	readonly priority: number;
	readonly customer: string;
	readonly weight: number;
	/** Latest time of its turn, in milliseconds. */
	readonly latestAt: number;
};

type WaitingTurn<Id> = TurnRequest<Id> & {
	/** Virtual time at which its customer is served. */
	readonly startTag: number;
};

export type TurnQueue<Id> = {
	/** Time of the last turn, in milliseconds. */
	readonly lastAt: number;
	/** Waiting requests, the next one first. */
	readonly waiting: ReadonlyArray<WaitingTurn<Id>>;
	/** Virtual time at which each customer's next request is served, for those that are ahead. */
	readonly tags: ReadonlyMap<string, number>;
	/** Start tag of the last request that had a turn. */
	readonly virtualTime: number;
};

/** Creates a queue whose first turn comes after one interval: the turns that others gave before are not known. */
export const createTurnQueue = <Id>(now: number): TurnQueue<Id> => ({
	lastAt: now,
	waiting: [],
	tags: new Map(),
	virtualTime: 0,
});

/** Computes the time of a turn, in milliseconds; `index` counts from 0, the next one. */
const computeTurnAt = (
	{lastAt}: Pick<TurnQueue<unknown>, 'lastAt'>,
	index: number,
	perSecond: number,
	now: number,
): number =>
	Math.max(now, lastAt + msPerSecond / perSecond) +
	(index * msPerSecond) / perSecond;

/** Computes the time until a request that arrives now has its turn, in milliseconds. */
export const computeTurnDelayMs = (
	queue: TurnQueue<unknown>,
	perSecond: number,
	now: number,
): number => computeTurnAt(queue, queue.waiting.length, perSecond, now) - now;

const compareTurns = <Id>(a: WaitingTurn<Id>, b: WaitingTurn<Id>): number =>
	a.priority - b.priority || a.startTag - b.startTag;

/** Adds a request. Returns the queue and the requests whose turn can't come in time now. */
export function addTurn<Id>(
	queue: TurnQueue<Id>,
	request: TurnRequest<Id>,
	perSecond: number,
	now: number,
): readonly [TurnQueue<Id>, readonly Id[]] {
	const startTag = Math.max(
		queue.virtualTime,
		queue.tags.get(request.customer) ?? 0,
	);
	const turn = {...request, startTag};
	const after = queue.waiting.findIndex(
		(other) => compareTurns(turn, other) < 0,
	);
	const index = after === -1 ? queue.waiting.length : after;
	if (computeTurnAt(queue, index, perSecond, now) > request.latestAt) {
		return [queue, [request.id]];
	}

	const tags = new Map(queue.tags).set(
		request.customer,
		startTag + 1 / Math.max(request.weight, Number.EPSILON),
	);
	return removeLate(
		{...queue, tags, waiting: queue.waiting.toSpliced(index, 0, turn)},
		perSecond,
		now,
	);
}

/** Removes the requests whose turn can't come in time any more, and returns them. */
export function removeLate<Id>(
	queue: TurnQueue<Id>,
	perSecond: number,
	now: number,
): readonly [TurnQueue<Id>, readonly Id[]] {
	const kept: Array<WaitingTurn<Id>> = [];
	const late: Id[] = [];
	for (const turn of queue.waiting) {
		const turnAt = computeTurnAt(queue, kept.length, perSecond, now);
		if (turnAt > turn.latestAt + maxLateMs) {
			late.push(turn.id);
		} else {
			kept.push(turn);
		}
	}

	return late.length === 0 ? [queue, late] : [{...queue, waiting: kept}, late];
}

/** Takes the request whose turn has come; undefined if there is none. */
export function takeTurn<Id>(
	queue: TurnQueue<Id>,
	perSecond: number,
	now: number,
): readonly [TurnQueue<Id>, Id | undefined] {
	const [next] = queue.waiting;
	const intervalMs = msPerSecond / perSecond;
	if (!next || now < queue.lastAt + intervalMs) {
		return [queue, undefined];
	}

	const lastAt = Math.max(queue.lastAt + intervalMs, now - maxCatchUpMs);
	const virtualTime = Math.max(queue.virtualTime, next.startTag);
	const tags = new Map(
		[...queue.tags].filter(([, startTag]) => startTag > virtualTime),
	);
	return [
		{lastAt, waiting: queue.waiting.slice(1), tags, virtualTime},
		next.id,
	];
}

/** Computes the time of the next turn, in milliseconds; undefined if nothing waits. */
export const computeNextTurnAt = (
	queue: TurnQueue<unknown>,
	perSecond: number,
): number | undefined =>
	queue.waiting.length > 0 ? queue.lastAt + msPerSecond / perSecond : undefined;

/** Removes the requests that `isRemoved` selects, as they don't wait any more. */
export const removeTurns = <Id>(
	queue: TurnQueue<Id>,
	isRemoved: (id: Id) => boolean,
): TurnQueue<Id> => ({
	...queue,
	waiting: queue.waiting.filter(({id}) => !isRemoved(id)),
});

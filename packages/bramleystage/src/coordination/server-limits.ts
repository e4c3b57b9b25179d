/**
 * Limits that backend servers name in their answers: the requests a second that an
 * instance takes from all gateways together, for as long as it says so.
 *
 * Answers overtake each other, and what one gateway knows reaches the others later. So
 * a limit begins or falls at once, but rises or ends only by an answer to a request that
 * was sent after the last sign of the lower limit. Each change has a revision, one above
 * the last known one; of two changes, the higher revision holds, and the lower limit if
 * both are the same.
 */
import type {InstanceKey} from '../protocol/ids.js';

export type ServerLimit = {
	/** Requests a second; undefined if the limit has ended. */
	readonly perSecond: number | undefined;
	readonly revision: number;
	/** When the limit, or its end, was last seen, in milliseconds. */
	readonly seenAt: number;
};

export type ServerLimits = ReadonlyMap<InstanceKey, ServerLimit>;

/** What one answer says; `perSecond` is undefined if it names no limit. */
export type LimitAnswer = {
	readonly perSecond: number | undefined;
	/** When its request was sent, in milliseconds. */
	readonly sentAt: number;
};

/** Lowest limit that is kept, in requests a second: a server that is never asked can't say that its limit has ended. */
export const minServerLimit = 0.1;
/** Limit above which a server counts as unlimited, in requests a second. */
const maxServerLimit = 100_000;

export const createServerLimits = (): ServerLimits => new Map();

/**
 * Reads a limit from the text of a server's answer, a decimal number of requests a
 * second; undefined for any other text. Very low ones count as `minServerLimit`, and
 * very high ones are infinite.
 */
export function parseServerLimit(text: string): number | undefined {
	if (!/^\d+(?:\.\d+)?$/v.test(text.trim())) {
		return undefined;
	}

	const perSecond = Number(text);
	return perSecond > maxServerLimit
		? Number.POSITIVE_INFINITY
		: Math.max(minServerLimit, perSecond);
}

const isTighter = (
	perSecond: number | undefined,
	other: number | undefined,
): boolean =>
	(perSecond ?? Number.POSITIVE_INFINITY) < (other ?? Number.POSITIVE_INFINITY);

/** Records what an answer of an instance says of its limit. */
export function recordLimitAnswer(
	limits: ServerLimits,
	instance: InstanceKey,
	{perSecond, sentAt}: LimitAnswer,
	now: number,
): ServerLimits {
	const known = limits.get(instance);
	if (!known) {
		return perSecond === undefined
			? limits
			: new Map(limits).set(instance, {perSecond, revision: 1, seenAt: now});
	}

	// After the end of a limit, a late answer to an older request doesn't begin it again.
	const isFall =
		known.perSecond !== undefined && isTighter(perSecond, known.perSecond);
	const isNewer = sentAt >= known.seenAt;
	if (perSecond === known.perSecond) {
		return perSecond === undefined
			? limits
			: new Map(limits).set(instance, {...known, seenAt: now});
	}

	return isFall || isNewer
		? new Map(limits).set(instance, {
				perSecond,
				revision: known.revision + 1,
				seenAt: now,
			})
		: limits;
}

/** Merges what a peer knows of an instance's limit. */
export function applyLimitNews(
	limits: ServerLimits,
	instance: InstanceKey,
	news: Pick<ServerLimit, 'perSecond' | 'revision'>,
	now: number,
): ServerLimits {
	const known = limits.get(instance);
	const isNewer =
		news.revision > (known?.revision ?? 0) ||
		(news.revision === known?.revision &&
			isTighter(news.perSecond, known.perSecond));
	return isNewer
		? new Map(limits).set(instance, {...news, seenAt: now})
		: limits;
}

/** Finds the limit of an instance, in requests a second; undefined if it has none. */
export const findServerLimit = (
	limits: ServerLimits,
	instance: InstanceKey,
): number | undefined => limits.get(instance)?.perSecond;

/** Removes the limits of all instances but those that `isKept` selects. */
export function removeLimits(
	limits: ServerLimits,
	isKept: (instance: InstanceKey, limit: ServerLimit) => boolean,
): ServerLimits {
	const kept = [...limits].filter(([instance, limit]) =>
		isKept(instance, limit),
	);
	return kept.length === limits.size ? limits : new Map(kept);
}

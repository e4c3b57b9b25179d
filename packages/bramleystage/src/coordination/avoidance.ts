/**
 * Backend servers to avoid for a while, by what requests saw of them. Certain
 * signs count at once, weaker ones only when several come together; repeated
 * trouble lengthens the time, and a success takes weight off.
 */
import type {BackendId} from '../protocol/ids.js';

/** What a request saw. */
export type TroubleSign =
	/** It can't be reached, or others name it as not answering. */
	| 'unreachable'
	/** It is not the server that it was taken for. */
	| 'replaced'
	/** It cut a connection in the middle of an answer. */
	| 'cut'
	/** It turned work down, which may only be load. */
	| 'refused'
	/** It answered with a failure of its own, or with bytes that are no answer. */
	| 'failed'
	/** It took far longer than others. */
	| 'slow';

type Mark = {
	readonly until: number;
	readonly strikes: number;
	/** Last sign. */
	readonly sign?: TroubleSign;
	/** Sum of the weights of recent signs, as of `scoredAt`. */
	readonly score: number;
	readonly scoredAt: number;
};

export type Avoidance = ReadonlyMap<BackendId, Mark>;

/** Share of the evidence that a sign is; a sum of 1 is enough. */
const weights: Readonly<Record<TroubleSign, number>> = {
	unreachable: 1,
	replaced: 1,
	cut: 0.5,
	refused: 0.34,
	failed: 0.34,
	slow: 0.34,
};
/** First avoidance, in milliseconds; it doubles with each further one. */
const firstAvoidMs: Readonly<Record<TroubleSign, number>> = {
	unreachable: 1500,
	replaced: 2000,
	cut: 700,
	refused: 400,
	failed: 700,
	slow: 700,
};
const maxAvoidMs = 6000;
/** Time in which the weight of a sign halves, in milliseconds. */
const halfLifeMs = 500;
/** Share of the score that a success leaves. */
const successFactor = 0.6;

export const createAvoidance = (): Avoidance => new Map();

const computeScore = (mark: Mark | undefined, now: number) =>
	mark ? mark.score * 0.5 ** ((now - mark.scoredAt) / halfLifeMs) : 0;

/** Records a sign of trouble at a backend server. */
export function recordTrouble(
	avoidance: Avoidance,
	id: BackendId,
	sign: TroubleSign,
	now: number,
): Avoidance {
	const known = avoidance.get(id);
	if (known && known.until > now) {
		return avoidance;
	}

	const score = computeScore(known, now) + weights[sign];
	const strikes = known?.strikes ?? 0;
	if (score < 1) {
		const mark = {until: 0, strikes, sign, score, scoredAt: now};
		return new Map(avoidance).set(id, mark);
	}

	const time = Math.min(maxAvoidMs, firstAvoidMs[sign] * 2 ** strikes);
	const mark = {
		until: now + time,
		strikes: strikes + 1,
		sign,
		score: 0,
		scoredAt: now,
	};
	return new Map(avoidance).set(id, mark);
}

/** Records that a backend server answered well. */
export function recordSuccess(
	avoidance: Avoidance,
	id: BackendId,
	now: number,
): Avoidance {
	const known = avoidance.get(id);
	if (!known || known.until > now) {
		return avoidance;
	}

	const next = new Map(avoidance);
	const score = computeScore(known, now) * successFactor;
	if (score < 0.05) {
		next.delete(id);
	} else {
		next.set(id, {until: 0, strikes: 0, score, scoredAt: now});
	}

	return next;
}

/** Forgets all that was seen of a backend server, as it has started anew. */
export function removeTrouble(avoidance: Avoidance, id: BackendId): Avoidance {
	const next = new Map(avoidance);
	next.delete(id);
	return next;
}

/** Whether a backend server gets no work for now. */
export function isAvoided(
	avoidance: Avoidance,
	id: BackendId,
	now: number,
): boolean {
	return (avoidance.get(id)?.until ?? 0) > now;
}

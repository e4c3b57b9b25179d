/**
 * Outlier avoidance: backend servers that get no requests for a while because of
 * failures that recent requests observed. A strong signal is enough by itself;
 * weaker signals must add up within a short time. Each consecutive avoidance
 * lasts twice as long, up to a limit. A success reduces the score and ends the
 * doubling.
 *
 * One of many gateways sends a server only a few requests, too few for signals to
 * add up. So an error is enough by itself if the server had no success lately.
 */
import type {BackendId} from '../protocol/ids.js';

/** A failure that a request observed. */
export type FailureSignal =
	/** It can't be reached, or others report that it doesn't answer. */
	| 'unreachable'
	/** A different instance answered at its address. */
	| 'replaced'
	/** It closed a connection before the end of an answer. */
	| 'cut'
	/** It refused a request, possibly only because of load. */
	| 'refused'
	/** It answered with an error or with a malformed answer. */
	| 'failed'
	/** It took far longer than other servers. */
	| 'slow';

type AvoidanceEntry = {
	/** Time at which the avoidance ends, in milliseconds; 0 if it isn't avoided. */
	readonly avoidedUntil: number;
	/** Avoidances since the last success. */
	readonly consecutiveAvoidances: number;
	/** Most recent signal. */
	readonly sign?: FailureSignal;
	/** Decayed sum of the weights of recent signals, as of `scoredAt`. */
	readonly score: number;
	readonly scoredAt: number;
	/** Time of the last success, in milliseconds. */
	readonly succeededAt?: number;
};

/** What is known of each backend server; servers without an answer so far are absent. */
export type Avoidance = ReadonlyMap<BackendId, AvoidanceEntry>;

/** Weight of each signal; a server is avoided once its score reaches 1. */
const signalWeights: Readonly<Record<FailureSignal, number>> = {
	unreachable: 1,
	replaced: 1,
	cut: 0.5,
	refused: 0.34,
	failed: 0.34,
	slow: 0.34,
};
/** Length of the first avoidance, in milliseconds; it doubles with each consecutive one. */
const baseAvoidMs: Readonly<Record<FailureSignal, number>> = {
	unreachable: 1500,
	replaced: 2000,
	cut: 700,
	refused: 400,
	failed: 700,
	slow: 700,
};
const maxAvoidMs = 6000;
/** Time since the last success after which a single error is enough, in milliseconds. */
const loneErrorMs = 1500;
/** Length of the first avoidance after such an error, in milliseconds: several times the gap between two requests of one of many gateways. */
const loneErrorAvoidMs = 4000;
const maxLoneErrorAvoidMs = 8000;
/** Time in which the score halves, in milliseconds. */
const halfLifeMs = 500;
/** Factor by which a success reduces the score. */
const successFactor = 0.6;
/** Scores below this are dropped. */
const minScore = 0.05;

export const createAvoidance = (): Avoidance => new Map();

const computeScore = (entry: AvoidanceEntry | undefined, now: number) =>
	entry ? entry.score * 0.5 ** ((now - entry.scoredAt) / halfLifeMs) : 0;

/** Records a failure of a backend server. Ignored while the server is avoided. */
export function recordFailure(
	avoidance: Avoidance,
	id: BackendId,
	sign: FailureSignal,
	now: number,
): Avoidance {
	const previous = avoidance.get(id);
	if (previous && previous.avoidedUntil > now) {
		return avoidance;
	}

	const succeededAt = previous?.succeededAt;
	const isLoneError =
		sign === 'failed' &&
		(succeededAt === undefined || now - succeededAt > loneErrorMs);
	const score =
		computeScore(previous, now) + (isLoneError ? 1 : signalWeights[sign]);
	const consecutiveAvoidances = previous?.consecutiveAvoidances ?? 0;
	if (score < 1) {
		const entry = {
			avoidedUntil: 0,
			consecutiveAvoidances,
			sign,
			score,
			scoredAt: now,
			succeededAt,
		};
		return new Map(avoidance).set(id, entry);
	}

	const baseMs = isLoneError ? loneErrorAvoidMs : baseAvoidMs[sign];
	const avoidMs = Math.min(
		isLoneError ? maxLoneErrorAvoidMs : maxAvoidMs,
		baseMs * 2 ** consecutiveAvoidances,
	);
	const entry = {
		avoidedUntil: now + avoidMs,
		consecutiveAvoidances: consecutiveAvoidances + 1,
		sign,
		score: 0,
		scoredAt: now,
		succeededAt,
	};
	return new Map(avoidance).set(id, entry);
}

/** Records a successful answer of a backend server. Ignored while the server is avoided. */
export function recordSuccess(
	avoidance: Avoidance,
	id: BackendId,
	now: number,
): Avoidance {
	const previous = avoidance.get(id);
	if (previous && previous.avoidedUntil > now) {
		return avoidance;
	}

	const score = computeScore(previous, now) * successFactor;
	return new Map(avoidance).set(id, {
		avoidedUntil: 0,
		consecutiveAvoidances: 0,
		score: score < minScore ? 0 : score,
		scoredAt: now,
		succeededAt: now,
	});
}

/** Removes all recorded failures of a backend server, for example after it restarted. */
export function removeFailures(avoidance: Avoidance, id: BackendId): Avoidance {
	const next = new Map(avoidance);
	next.delete(id);
	return next;
}

/** Whether a backend server is currently avoided. */
export function isAvoided(
	avoidance: Avoidance,
	id: BackendId,
	now: number,
): boolean {
	return (avoidance.get(id)?.avoidedUntil ?? 0) > now;
}

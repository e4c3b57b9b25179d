/**
 * Backend servers to avoid for a while, by what requests saw of them. Repeated
 * trouble lengthens the time; a success ends it.
 */
import type {BackendId} from '../protocol/ids.js';

type Mark = {readonly until: number; readonly strikes: number};

export type Avoidance = ReadonlyMap<BackendId, Mark>;

/** First avoidance, in milliseconds: about the time in which a crashed engine is delisted or back. */
const firstAvoidMs = 3000;
const maxAvoidMs = 8000;

export const createAvoidance = (): Avoidance => new Map();

/** Records trouble at a backend server. */
export function recordTrouble(
	avoidance: Avoidance,
	id: BackendId,
	now: number,
): Avoidance {
	const known = avoidance.get(id);
	if (known && known.until > now) {
		return avoidance;
	}

	const strikes = (known?.strikes ?? 0) + 1;
	const time = Math.min(maxAvoidMs, firstAvoidMs * 1.5 ** (strikes - 1));
	return new Map(avoidance).set(id, {until: now + time, strikes});
}

/** Records that a backend server answered well. */
export function recordSuccess(avoidance: Avoidance, id: BackendId): Avoidance {
	if (!avoidance.has(id)) {
		return avoidance;
	}

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

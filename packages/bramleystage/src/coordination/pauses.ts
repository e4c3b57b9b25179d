/**
 * Pauses that backend servers ask for: a server that refuses a request may name a
 * time during which it wants no further requests from this gateway. A pause ends
 * at its time, or when the server restarts.
 */
import type {BackendId} from '../protocol/ids.js';

/** Time at which each server's pause ends, in milliseconds. */
export type Pauses = ReadonlyMap<BackendId, number>;

/** Longest pause that is kept, in milliseconds; longer ones are cut to it. */
export const maxPauseMs = 600_000;
const msPerSecond = 1000;

export const createPauses = (): Pauses => new Map();

/**
 * Reads a pause in milliseconds from the text of a server's answer, in seconds
 * with an optional fraction. Any other text, such as a date, is no pause.
 */
export function parsePauseMs(text: string): number | undefined {
	const seconds = /^\d+(?:\.\d+)?$/v.test(text.trim())
		? Number(text)
		: Number.NaN;
	return Number.isFinite(seconds)
		? Math.min(maxPauseMs, seconds * msPerSecond)
		: undefined;
}

/** Records a pause; the one that ends last counts. Pauses that have ended are dropped. */
export function recordPause(
	pauses: Pauses,
	id: BackendId,
	pauseMs: number,
	now: number,
): Pauses {
	const next = new Map([...pauses].filter(([, until]) => until > now));
	return next.set(id, Math.max(next.get(id) ?? 0, now + pauseMs));
}

/** Removes the pause of a server, for example after it restarted. */
export function removePause(pauses: Pauses, id: BackendId): Pauses {
	return new Map([...pauses].filter(([key]) => key !== id));
}

export const isPaused = (pauses: Pauses, id: BackendId, now: number): boolean =>
	(pauses.get(id) ?? 0) > now;

/** Finds the time at which the first pause of the given servers ends, in milliseconds; undefined if none of them is paused. */
export function findFirstPauseEnd(
	pauses: Pauses,
	ids: readonly BackendId[],
	now: number,
): number | undefined {
	const ends = ids
		.map((id) => pauses.get(id) ?? 0)
		.filter((until) => until > now);
	return ends.length > 0 ? Math.min(...ends) : undefined;
}

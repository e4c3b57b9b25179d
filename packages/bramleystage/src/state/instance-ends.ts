/**
 * Backend servers whose instance has certainly ended. One sign alone shows that: a
 * refused connection of a server that does not leave, as nothing listens at the
 * address; one that leaves stops listening before its last request ends. Silence, a broken answer
 * or bytes that can't be read don't, as a sound server may pause and go on. An entry
 * that left the list doesn't, as a leaving server goes on serving, nor does a later
 * start time, as the listed one may have been out of date when the request was sent,
 * nor status 421, which an engine without the named layers sends too.
 */
import type {BackendId} from '../protocol/ids.js';

/** A request that was sent to a backend server. */
export type SentRequest = {
	readonly id: BackendId;
	/** `host:port` of the server. */
	readonly address: string;
	/** Steady-clock time at which it was sent, in milliseconds. */
	readonly sentAt: number;
};

/**
 * The newest refused connection of each server, by the steady-clock time at which
 * it was tried, in milliseconds. Instances from before have ended.
 */
export type InstanceEnds = ReadonlyMap<BackendId, number>;

/** Number of servers that are remembered. */
const maxRememberedEnds = 1024;

export const createInstanceEnds = (): InstanceEnds => new Map();

/** Records a refused connection; the servers recorded first are dropped beyond the limit. */
export function recordInstanceEnd(
	ends: InstanceEnds,
	id: BackendId,
	triedAt: number,
): InstanceEnds {
	const next = new Map(ends);
	next.delete(id);
	next.set(id, Math.max(triedAt, ends.get(id) ?? triedAt));
	const [oldest] = next.keys();
	if (next.size > maxRememberedEnds && oldest !== undefined) {
		next.delete(oldest);
	}

	return next;
}

/** Whether the instance that was sent a request has ended since. */
export const hasInstanceEnded = (
	ends: InstanceEnds,
	{id, sentAt}: Pick<SentRequest, 'id' | 'sentAt'>,
): boolean => sentAt < (ends.get(id) ?? Number.NEGATIVE_INFINITY);

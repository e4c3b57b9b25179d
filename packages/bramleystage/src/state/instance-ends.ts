/**
 * Instances of backend servers that have certainly ended. Only an ended instance
 * shows one of two signs: nothing listens at its address, or a later start is known
 * under its id. Silence, a broken answer or bytes that can't be read are no sign of
 * an end, as a sound server may pause and go on. Neither is an entry that left the
 * list, as a leaving server goes on serving, nor status 421, which an engine without
 * the named layers sends too.
 */
import type {BackendId} from '../protocol/ids.js';
import type {Backend} from './backends.js';

/** One start of a backend server. */
export type BackendInstance = Pick<Backend, 'id' | 'bornAt'>;

export type EndEvidence =
	/** A connection to its address was refused. */
	| 'connectionRefused'
	/** A later start of the same server is known. */
	| 'restarted';

/** Work that was sent to an instance. */
export type InstanceWork = BackendInstance & {
	/** Time at which it was sent, in milliseconds. */
	readonly sentAt: number;
};

type InstanceEnd = {
	/** Start time of the newest instance that has ended, as Unix time in milliseconds. */
	readonly bornAt: number;
	readonly evidence: EndEvidence;
	/** Time of the evidence, in milliseconds. */
	readonly at: number;
};

/** The newest ended instance of each backend server. */
export type InstanceEnds = ReadonlyMap<BackendId, InstanceEnd>;

/** Number of servers that are remembered. */
const maxRememberedEnds = 1024;

export const createInstanceEnds = (): InstanceEnds => new Map();

/** Records that an instance has ended; the servers recorded first are dropped beyond the limit. */
export function recordInstanceEnd(
	ends: InstanceEnds,
	{id, bornAt}: BackendInstance,
	evidence: EndEvidence,
	now: number,
): InstanceEnds {
	const known = ends.get(id);
	if (known && known.bornAt > bornAt) {
		return ends;
	}

	const next = new Map(ends);
	next.delete(id);
	next.set(id, {bornAt, evidence, at: now});
	const [oldest] = next.keys();
	if (next.size > maxRememberedEnds && oldest !== undefined) {
		next.delete(oldest);
	}

	return next;
}

/** Finds the evidence that the instance that was sent a piece of work has ended since. */
export function findEndEvidence(
	ends: InstanceEnds,
	{id, bornAt, sentAt}: InstanceWork,
): EndEvidence | undefined {
	const end = ends.get(id);
	// Start times may be unknown, so the evidence must also be newer than the work.
	return end && end.bornAt >= bornAt && end.at >= sentAt
		? end.evidence
		: undefined;
}

/** Whether one start of a server is later than another; false if either time is unknown. */
export const isLaterStart = (bornAt: number, knownBornAt: number): boolean =>
	knownBornAt > 0 && bornAt > knownBornAt;

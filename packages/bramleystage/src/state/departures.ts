/**
 * Instances of backend servers that left the list lately, or were shown there to
 * leave. The list lags behind the servers: a request may have been sent to an
 * instance whose entry has changed by the time its connection breaks.
 */
import {
	type BackendId,
	type InstanceKey,
	toInstanceKey,
} from '../protocol/ids.js';
import type {Backend} from './backends.js';
import type {SentRequest} from './instance-ends.js';

export type Departure = {
	readonly instance: InstanceKey;
	/** Steady-clock time at which the list first showed it, in milliseconds. */
	readonly at: number;
	/** Whether it said that it leaves, is missing, or has another instance of the same id in its place. */
	readonly kind: 'leaving' | 'removed' | 'replaced';
};

/** The last departure of each id. */
export type Departures = ReadonlyMap<BackendId, Departure>;

/** Time for which departures are kept, in milliseconds. */
const keepMs = 10_000;

export const formatInstance = ({
	id,
	bornAt,
}: Pick<Backend, 'id' | 'bornAt'>): InstanceKey =>
	toInstanceKey(`${id}@${bornAt}`);

/** Decides which departure a change of an entry shows, if any. */
function decideDeparture(
	before: Backend,
	after: Backend | undefined,
): Departure['kind'] | undefined {
	if (!after) {
		return 'removed';
	}

	if (after.bornAt !== before.bornAt) {
		return 'replaced';
	}

	return after.isDraining ? 'leaving' : undefined;
}

/** Records the departures that a new list shows. */
export function recordDepartures(
	departures: Departures,
	before: ReadonlyMap<BackendId, Backend>,
	after: ReadonlyMap<BackendId, Backend>,
	now: number,
): Departures {
	const next = new Map(
		[...departures].filter(([id, {instance, at}]) => {
			const entry = after.get(id);
			const isBack =
				entry && !entry.isDraining && formatInstance(entry) === instance;
			return now - at < keepMs && !isBack;
		}),
	);
	for (const [id, entry] of before) {
		const kind = decideDeparture(entry, after.get(id));
		const instance = formatInstance(entry);
		const known = next.get(id);
		// What leaves as it said is removed later.
		if (kind && !(kind !== 'replaced' && known?.instance === instance)) {
			next.set(id, {instance, at: now, kind});
		}
	}

	return next;
}

/** Finds the instance that a request was sent to, with its departure if the list has shown one. */
export function findSentInstance(
	departures: Departures,
	backends: ReadonlyMap<BackendId, Backend>,
	{id, sentAt}: Pick<SentRequest, 'id' | 'sentAt'>,
): {instance: InstanceKey; departure?: Departure} | undefined {
	const departure = departures.get(id);
	const listed = backends.get(id);
	const isDeparted =
		departure !== undefined &&
		(departure.at >= sentAt ||
			listed === undefined ||
			formatInstance(listed) === departure.instance);
	if (isDeparted) {
		return {instance: departure.instance, departure};
	}

	return listed && {instance: formatInstance(listed)};
}

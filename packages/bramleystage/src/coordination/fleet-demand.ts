/**
 * Load of all gateways together, from the sums that each of them sends. Gateways carry up to
 * ten times each other's load, so that their own loads say little about the fleet's.
 *
 * A gateway sends its own sums to the gateways that it follows. A followed gateway counts the
 * last sums of each sender once, by the sender's address, adds its own and sends the total
 * back. Totals are never added to each other: a gateway uses the one that accounts for the most
 * gateways. So a gateway that only some others reach counts at most once.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {ServiceName} from '../protocol/ids.js';
import {
	emptyServiceLoad,
	type FleetLoad,
	type PriorityRates,
	type ServiceLoad,
} from '../state/fleet-load.js';

/** Age above which sums and totals don't count, in milliseconds: five pings. */
export const maxDemandAgeMs = 1500;
/**
 * Time for which a gateway whose connection ended and which sends no sums is remembered, in
 * milliseconds. The group lists a dead one no longer by then, so that the number of gateways
 * leaves it out.
 */
const endedMs = 10_000;

/** Load of each service; services without load are left out. */
export type DemandSums = ReadonlyMap<ServiceName, ServiceLoad>;

export type DemandTotal = {
	readonly loads: DemandSums;
	/** Gateways that the total counts. */
	readonly gateways: number;
	/** Gateways that the total leaves out, as they have said that they stop. */
	readonly stopped: number;
	/** Gateways that it leaves out, as their connections ended and they have sent nothing since. */
	readonly lost: number;
	/** Age of the oldest sums that it counts when it was written, in milliseconds. */
	readonly ageMs: number;
};

/** A total with the receiver's steady-clock time at which it was written, in milliseconds. */
export type TimedTotal = DemandTotal & {readonly writtenAt: Milliseconds};

type SenderState = {
	/** Absent once the sender has stopped or its sums are too old. */
	readonly sums?: DemandSums;
	/** Whether it has said that it stops. */
	readonly isStopped: boolean;
	readonly arrivedAt: Milliseconds;
	/** When its connection ended after which it has sent nothing; absent while it is connected. */
	readonly endedAt?: Milliseconds;
};

/** The last sums of each gateway that follows this one. */
export class SenderSums {
	readonly #senders = new Map<string, SenderState>();

	/** Records the sums that a gateway has sent, which replace its earlier ones. */
	recordSums(sender: string, sums: DemandSums, now: Milliseconds): void {
		this.#senders.set(sender, {sums, isStopped: false, arrivedAt: now});
	}

	/**
	 * Records that the connection of a sender has ended. Only the sums of one that stops leave
	 * at once: any other may still run and send its next sums elsewhere or on a new connection.
	 */
	recordEnd(sender: string, isStopping: boolean, now: Milliseconds): void {
		const known = this.#senders.get(sender);
		if (known) {
			this.#senders.set(sender, {
				sums: isStopping ? undefined : known.sums,
				isStopped: isStopping,
				arrivedAt: known.arrivedAt,
				endedAt: now,
			});
		}
	}

	/** Adds the sums that are recent enough to this gateway's own ones. */
	computeTotal(own: DemandSums, now: Milliseconds): DemandTotal {
		this.#removeOld(now);
		const recent = [...this.#senders.values()].flatMap(({sums, arrivedAt}) =>
			sums ? [{sums, ageMs: now - arrivedAt}] : [],
		);
		const stopped = [...this.#senders.values()].filter(
			({isStopped}) => isStopped,
		).length;
		return {
			loads: mergeSums([own, ...recent.map(({sums}) => sums)]),
			gateways: recent.length + 1,
			stopped,
			lost: this.#senders.size - recent.length - stopped,
			ageMs: Math.max(0, ...recent.map(({ageMs}) => ageMs)),
		};
	}

	#removeOld(now: Milliseconds): void {
		for (const [sender, state] of this.#senders) {
			const {sums, arrivedAt, endedAt} = state;
			const isRecent = sums !== undefined && now - arrivedAt <= maxDemandAgeMs;
			const hasEnded = endedAt !== undefined && now - endedAt <= endedMs;
			if (!isRecent && !hasEnded) {
				this.#senders.delete(sender);
			} else if (!isRecent && sums) {
				this.#senders.set(sender, {...state, sums: undefined});
			}
		}
	}
}

/**
 * Computes the load of a service over all gateways from this gateway's own total and those of
 * the gateways that it follows. For gateways that no total counts, the mean of the counted
 * ones is assumed: alone, that is the own load times the number of gateways.
 */
export function computeFleetLoad(
	service: ServiceName,
	{
		own,
		totals,
		gateways,
	}: {
		readonly own: ServiceLoad;
		readonly totals: readonly TimedTotal[];
		/** Number of gateways that share the load. */
		readonly gateways: number;
	},
	now: Milliseconds,
): FleetLoad {
	const [total] = totals
		.filter(({writtenAt}) => now - writtenAt <= maxDemandAgeMs)
		.toSorted(
			(a, b) =>
				b.gateways + b.stopped - a.gateways - a.stopped ||
				computeAgeMs(a, now) - computeAgeMs(b, now),
		);
	const counted = total?.gateways ?? 1;
	const running = Math.max(counted, gateways - (total ? countGone(total) : 0));
	const measured = total ? (total.loads.get(service) ?? emptyServiceLoad) : own;
	return {
		own,
		// The own load in the total may be older.
		fleet: mergeLargest(scaleLoad(measured, running / counted), own),
		// Fewer may be the smaller side of a partition, or a few of newer builds.
		isMeasured: counted * 2 > running,
		ageMs: total ? computeAgeMs(total, now) : 0,
	};
}

/**
 * Counts the gateways that run no more. If as many connections have ended as are left, the
 * others have more likely turned away from a gateway that was paused or cut off.
 */
const countGone = ({gateways, stopped, lost}: DemandTotal): number =>
	stopped + (lost < gateways ? lost : 0);

const computeAgeMs = (
	{ageMs, writtenAt}: TimedTotal,
	now: Milliseconds,
): number => ageMs + Math.max(0, now - writtenAt);

type MutableRates = {
	-readonly [Key in keyof PriorityRates]: PriorityRates[Key];
};

/** Load to which others are added in place: a followed gateway adds up 400 of them ten times a second. */
type LoadSum = {
	running: number;
	tokens: number;
	ends: number;
	readonly rates: MutableRates[];
};

function addLoad(sum: LoadSum, load: ServiceLoad): void {
	sum.running += load.running;
	sum.tokens += load.tokens;
	sum.ends += load.ends;
	for (const {priority, arrivals, admissions} of load.rates) {
		const known = openRates(sum.rates, priority);
		known.arrivals += arrivals;
		known.admissions += admissions;
	}
}

/** Finds the rates of a priority, or adds them in order. */
function openRates(rates: MutableRates[], priority: number): MutableRates {
	let index = 0;
	for (const rate of rates) {
		if (rate.priority === priority) {
			return rate;
		}

		index += rate.priority < priority ? 1 : 0;
	}

	const added = {priority, arrivals: 0, admissions: 0};
	rates.splice(index, 0, added);
	return added;
}

function mergeSums(parts: readonly DemandSums[]): DemandSums {
	const sums = new Map<ServiceName, LoadSum>();
	for (const part of parts) {
		for (const [service, load] of part) {
			let sum = sums.get(service);
			if (!sum) {
				sum = {running: 0, tokens: 0, ends: 0, rates: []};
				sums.set(service, sum);
			}

			addLoad(sum, load);
		}
	}

	return sums;
}

/** Merges two loads by the larger of each number. */
function mergeLargest(a: ServiceLoad, b: ServiceLoad): ServiceLoad {
	const rates = a.rates.map((rate) => ({...rate}));
	for (const {priority, arrivals, admissions} of b.rates) {
		const known = openRates(rates, priority);
		known.arrivals = Math.max(known.arrivals, arrivals);
		known.admissions = Math.max(known.admissions, admissions);
	}

	return {
		running: Math.max(a.running, b.running),
		tokens: Math.max(a.tokens, b.tokens),
		ends: Math.max(a.ends, b.ends),
		rates,
	};
}

const scaleLoad = (
	{running, tokens, ends, rates}: ServiceLoad,
	factor: number,
): ServiceLoad => ({
	running: running * factor,
	tokens: tokens * factor,
	ends: ends * factor,
	rates: rates.map(({priority, arrivals, admissions}) => ({
		priority,
		arrivals: arrivals * factor,
		admissions: admissions * factor,
	})),
});

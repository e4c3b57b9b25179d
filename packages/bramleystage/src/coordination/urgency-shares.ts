/**
 * Which share of each priority's requests is admitted while a service is short. Addresses a
 * flood of requests of low urgency, in which urgent ones were refused more often than the
 * flood. All gateways derive the same shares from the fleet's rates and apply them to their
 * own arrivals, so busier gateways admit more and the sum is what the fleet can admit.
 */
import type {PriorityRates} from '../state/fleet-load.js';

/** Part of the common share that each priority gets, whatever more urgent ones ask for. */
const floorPart = 0.2;
/**
 * Part of the admission rate that is promised to refused callers: about what is free at usual
 * demand. At the whole rate, returning callers displaced new ones for 15 s after a shortage,
 * who then had to return themselves.
 */
const placePart = 0.25;
/** Customers whose remainders are kept; those kept longest are dropped beyond. */
const maxCustomers = 4096;
/** Absorbs rounding in sums of shares. */
const epsilon = 1e-9;

export type UrgencyShare = {
	/** 0 (most urgent) to 9. */
	readonly priority: number;
	/** Share of its requests that is admitted, from 0 to 1. */
	readonly share: number;
};

/** Computes the admitted share of each priority, most urgent first: a floor for each, the rest in order of priority. */
export function computeUrgencyShares(
	rates: ReadonlyArray<Pick<PriorityRates, 'priority' | 'arrivals'>>,
	admissionRate: number,
): UrgencyShare[] {
	const present = rates
		.filter(({arrivals}) => arrivals > 0)
		.toSorted((a, b) => a.priority - b.priority);
	const total = present.reduce((sum, {arrivals}) => sum + arrivals, 0);
	const commonShare = total > 0 ? Math.min(1, admissionRate / total) : 1;
	if (commonShare === 1) {
		return present.map(({priority}) => ({priority, share: 1}));
	}

	const floor = commonShare * floorPart;
	let rest = admissionRate - floor * total;
	return present.map(({priority, arrivals}) => {
		const extra = Math.min(rest, arrivals * (1 - floor));
		rest -= extra;
		return {priority, share: floor + extra / arrivals};
	});
}

/** Finds the share of a priority; one without known arrivals gets that of the next less urgent one, or of the last. */
export function findUrgencyShare(
	shares: readonly UrgencyShare[],
	priority: number,
): number {
	const known = shares.find((entry) => entry.priority >= priority);
	return (known ?? shares.at(-1))?.share ?? 1;
}

/** Finds how many refused requests of a priority can be asked to return a second, urgent ones first; `rates` are those of the gateway that refuses them. */
export function findPlaceRate(
	rates: readonly PriorityRates[],
	shares: readonly UrgencyShare[],
	priority: number,
): number {
	const entries = rates.map((entry) => {
		const share = findUrgencyShare(shares, entry.priority);
		return {
			priority: entry.priority,
			arrivals: entry.arrivals * (1 - share),
			admitted: entry.arrivals * share,
		};
	});
	const admitted = entries.reduce((sum, entry) => sum + entry.admitted, 0);
	const placed = computeUrgencyShares(entries, admitted * placePart);
	const refused = entries.find((entry) => entry.priority === priority);
	return (refused?.arrivals ?? 0) * findUrgencyShare(placed, priority);
}

/** Admits a share of each customer's requests, with a remainder that is carried from one to the next. */
export class CustomerShares {
	readonly #remainders = new Map<string, number>();

	/** `drawRandom` returns a number from 0 to 1. */
	constructor(private readonly drawRandom: () => number) {}

	/**
	 * Whether the next request of a customer and priority is admitted. The first remainder is
	 * drawn, so that customers with one request at each of many gateways get their share too.
	 */
	tryTake(customer: string, {priority, share}: UrgencyShare): boolean {
		const key = `${priority} ${customer}`;
		const previous = this.#remainders.get(key) ?? this.#addCustomer();
		const sum = Math.min(previous, 1) + Math.max(0, Math.min(1, share));
		const isAdmitted = sum >= 1 - epsilon;
		this.#remainders.set(key, isAdmitted ? Math.max(0, sum - 1) : sum);
		return isAdmitted;
	}

	#addCustomer(): number {
		const [oldest] = this.#remainders.keys();
		if (this.#remainders.size >= maxCustomers && oldest !== undefined) {
			this.#remainders.delete(oldest);
		}

		return this.drawRandom();
	}
}

/**
 * Measures the load that one gateway carries, per service: running requests, their expected
 * tokens, and the rates of arrivals, admissions and ends. It serves demand that is spread
 * unevenly over the gateways: each tells the others its own load instead of assuming theirs.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {ServiceName} from '../protocol/ids.js';
import {
	emptyServiceLoad,
	type PriorityRates,
	type ServiceLoad,
} from '../state/fleet-load.js';

/** Time over which rates are smoothed, in milliseconds: long enough for a few requests a second, short against a flood of 5 s. */
const smoothingMs = 1000;
const msPerSecond = 1000;
/** Rate below which a priority had no requests lately, a second: one request 5 s ago. */
const minRate = 0.005;

/** A rate with exponentially decaying weight of older events. */
export type SmoothedRate = {
	/** Events a second, as of `at`. */
	readonly rate: number;
	readonly at: Milliseconds;
};

const createRate = (now: Milliseconds): SmoothedRate => ({rate: 0, at: now});

/** Computes a smoothed rate as of now, a second. */
export const computeRate = (
	{rate, at}: SmoothedRate,
	now: Milliseconds,
): number => rate * Math.exp(-Math.max(0, now - at) / smoothingMs);

/** Adds one event to a smoothed rate. */
export const recordRateEvent = (
	state: SmoothedRate,
	now: Milliseconds,
): SmoothedRate => ({
	rate: computeRate(state, now) + msPerSecond / smoothingMs,
	at: Math.max(state.at, now),
});

type MeteredPriority = {arrivals: SmoothedRate; admissions: SmoothedRate};

type MeteredService = {
	running: number;
	tokens: number;
	ends: SmoothedRate;
	readonly priorities: Map<number, MeteredPriority>;
};

export class DemandMeter {
	readonly #services = new Map<ServiceName, MeteredService>();

	/** Records that a request has arrived. */
	recordArrival(
		service: ServiceName,
		priority: number,
		now: Milliseconds,
	): void {
		const metered = this.#openPriority(service, priority, now);
		metered.arrivals = recordRateEvent(metered.arrivals, now);
	}

	/** Records that a request begins; returns what records its end, which counts once. */
	recordAdmission(
		service: ServiceName,
		{priority, tokens}: {readonly priority: number; readonly tokens: number},
		now: Milliseconds,
	): (now: Milliseconds) => void {
		const metered = this.#openService(service, now);
		const rates = this.#openPriority(service, priority, now);
		rates.admissions = recordRateEvent(rates.admissions, now);
		metered.running++;
		metered.tokens += tokens;
		let hasEnded = false;
		return (endedAt) => {
			if (!hasEnded) {
				hasEnded = true;
				metered.running--;
				metered.tokens -= tokens;
				metered.ends = recordRateEvent(metered.ends, endedAt);
			}
		};
	}

	/** Describes the load of one service. */
	describe(service: ServiceName, now: Milliseconds): ServiceLoad {
		const metered = this.#services.get(service);
		if (!metered) {
			return emptyServiceLoad;
		}

		const ends = computeRate(metered.ends, now);
		return {
			running: metered.running,
			// Sums of fractions may leave a remainder when nothing is running.
			tokens: metered.running === 0 ? 0 : Math.max(0, metered.tokens),
			ends: ends < minRate ? 0 : ends,
			rates: listRates(metered.priorities, now),
		};
	}

	/** Describes the load of each service that has any. */
	describeAll(now: Milliseconds): ReadonlyMap<ServiceName, ServiceLoad> {
		const loads = [...this.#services.keys()].map(
			(service) => [service, this.describe(service, now)] as const,
		);
		return new Map(
			loads.filter(
				([, {running, ends, rates}]) =>
					running > 0 || ends > 0 || rates.length > 0,
			),
		);
	}

	#openService(service: ServiceName, now: Milliseconds): MeteredService {
		const known = this.#services.get(service);
		if (known) {
			return known;
		}

		const metered = {
			running: 0,
			tokens: 0,
			ends: createRate(now),
			priorities: new Map<number, MeteredPriority>(),
		};
		this.#services.set(service, metered);
		return metered;
	}

	#openPriority(
		service: ServiceName,
		priority: number,
		now: Milliseconds,
	): MeteredPriority {
		const {priorities} = this.#openService(service, now);
		const known = priorities.get(priority);
		if (known) {
			return known;
		}

		const metered = {arrivals: createRate(now), admissions: createRate(now)};
		priorities.set(priority, metered);
		return metered;
	}
}

function listRates(
	priorities: ReadonlyMap<number, MeteredPriority>,
	now: Milliseconds,
): PriorityRates[] {
	return [...priorities]
		.map(([priority, {arrivals, admissions}]) => ({
			priority,
			arrivals: computeRate(arrivals, now),
			admissions: computeRate(admissions, now),
		}))
		.filter(
			({arrivals, admissions}) => Math.max(arrivals, admissions) >= minRate,
		)
		.toSorted((a, b) => a.priority - b.priority);
}

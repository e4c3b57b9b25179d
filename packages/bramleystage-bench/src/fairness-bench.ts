/**
 * `bench fairness`: compares the throughput of ten customers, with weights from 1
 * to 50, with their due rates. Two customers are greedy, load is skewed over the
 * entries, and prompt lengths differ by a factor of 100. The due rates are the
 * weighted max-min shares of the total throughput.
 */
import {createRandom} from 'bramleystage';
import {VirtualClock} from 'bramleystage-stand-ins';
import {createFleet, nearLinkLatency} from './bench-fleet.js';
import type {BenchFlags} from './benches.js';
import {type Demand, startDemand, type Shape} from './demand.js';
import {computeFleetBound} from './overload-bench.js';
import {SimulatedSite} from './simulated-site.js';

const weights = [1, 1, 2, 3, 5, 8, 12, 20, 30, 50];
/** Indexes of the customers that request ten times their share of half the bound. */
const greedyCustomers = new Set([1, 6]);
const greedyFactor = 10;
const defaultDemandFactor = 2.5;
/** Indexes of the customers that request half of that share. */
const modestCustomers = new Set([4, 7]);
const modestFactor = 0.5;
const entryCount = 3;
const warmUpMs = 15_000;
const measuredMs = 25_000;
const msPerSecond = 1000;
const smallShapes: readonly Shape[] = [
	{promptTokens: 4, answerTokens: 16},
	{promptTokens: 24, answerTokens: 24},
];
const largeShapes: readonly Shape[] = [
	{promptTokens: 100, answerTokens: 24},
	{promptTokens: 400, answerTokens: 16},
];
const entryShareSets = [
	[1, 0, 0],
	[0.1, 0.8, 0.1],
	[0.2, 0.3, 0.5],
	[0, 0, 1],
];

/** Runs the bench; its flags are `seed` and `engines`. */
export async function runFairnessBench(flags: BenchFlags): Promise<object> {
	const seed = Number(flags.seed ?? 5);
	const engines = createFleet(Number(flags.engines ?? 40));
	const demands = createDemands(computeFleetBound(engines));
	const time = new VirtualClock();
	const resultsByCustomer = startDemand({
		time,
		site: new SimulatedSite(time, engines, nearLinkLatency),
		demands,
		random: createRandom(seed),
		entryCount,
		recordFromMs: warmUpMs,
	});
	time.runUntil(warmUpMs + measuredMs);
	const rates = demands.map(
		({customer}) =>
			(resultsByCustomer.get(customer)!.tokens * msPerSecond) / measuredMs,
	);
	const dueRates = computeDueRates(demands, rates);
	const relativeErrors = rates.map((rate, index) =>
		Math.abs(rate / dueRates[index]! - 1),
	);
	return {
		worst_share_error: round(Math.max(...relativeErrors)),
		customers: demands.map(({customer, weight, tokensPerSecond}, index) => ({
			customer,
			weight,
			asked: Math.round(tokensPerSecond),
			due: Math.round(dueRates[index]!),
			got: Math.round(rates[index]!),
			error: round(relativeErrors[index]!),
		})),
		tokens_per_second: Math.round(rates.reduce((sum, rate) => sum + rate, 0)),
		seed,
	};
}

function createDemands(bound: number): Demand[] {
	const totalWeight = weights.reduce((total, weight) => total + weight, 0);
	return weights.map((weight, index) => {
		const factor = greedyCustomers.has(index)
			? greedyFactor
			: modestCustomers.has(index)
				? modestFactor
				: defaultDemandFactor;
		return {
			customer: `customer-${index}`,
			weight,
			// Throughput within the latency targets is below the bound, so demand is
			// scaled to half of the bound.
			tokensPerSecond: (factor * 0.5 * bound * weight) / totalWeight,
			entryShares: entryShareSets[index % entryShareSets.length]!,
			shapes: index % 2 === 0 ? smallShapes : largeShapes,
		};
	});
}

/**
 * Computes the weighted max-min shares of the total throughput. No customer is due
 * more than it requested.
 */
function computeDueRates(
	demands: readonly Demand[],
	rates: readonly number[],
): number[] {
	const dueRates = demands.map(() => 0);
	let remainingRate = rates.reduce((sum, rate) => sum + rate, 0);
	let unsatisfied = [...demands.keys()];
	while (unsatisfied.length > 0) {
		const totalWeight = unsatisfied.reduce(
			(total, index) => total + demands[index]!.weight,
			0,
		);
		const ratePerWeight = remainingRate / totalWeight;
		const satisfied = unsatisfied.filter(
			(index) =>
				demands[index]!.tokensPerSecond <=
				ratePerWeight * demands[index]!.weight,
		);
		if (satisfied.length === 0) {
			for (const index of unsatisfied) {
				dueRates[index] = ratePerWeight * demands[index]!.weight;
			}

			break;
		}

		for (const index of satisfied) {
			dueRates[index] = demands[index]!.tokensPerSecond;
			remainingRate -= dueRates[index];
		}

		unsatisfied = unsatisfied.filter((index) => !satisfied.includes(index));
	}

	return dueRates;
}

const round = (value: number) => Math.round(value * 1000) / 1000;

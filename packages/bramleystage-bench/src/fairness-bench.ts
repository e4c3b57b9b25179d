/**
 * Fairness by weight: ten customers with weights from 1 to 50, two of them
 * greedy, demand that is skewed over the entries, and prompts that differ a
 * hundredfold. The due shares are the weighted max-min shares of what ran.
 */
import {createRandom} from 'bramleystage';
import {createFleet, nearLinkTime} from './bench-fleet.js';
import type {BenchFlags} from './benches.js';
import {type Demand, startDemand, type Shape} from './demand.js';
import {computeFleetBound} from './overload-bench.js';
import {TimedSite} from './timed-site.js';
import {VirtualTime} from './virtual-time.js';

const weights = [1, 1, 2, 3, 5, 8, 12, 20, 30, 50];
/** Customers that ask for many times their share, by index. */
const greedy = new Set([1, 6]);
const greedyFactor = 10;
const demandFactor = 2.5;
/** Customers that ask for half of their share, by index. */
const modest = new Set([4, 7]);
const modestFactor = 0.5;
const entryCount = 3;
const warmUpMs = 15_000;
const measuredMs = 25_000;
const msPerSecond = 1000;
const small: readonly Shape[] = [
	{promptTokens: 4, answerTokens: 16},
	{promptTokens: 24, answerTokens: 24},
];
const large: readonly Shape[] = [
	{promptTokens: 100, answerTokens: 24},
	{promptTokens: 400, answerTokens: 16},
];
const skews = [
	[1, 0, 0],
	[0.1, 0.8, 0.1],
	[0.2, 0.3, 0.5],
	[0, 0, 1],
];

/** Runs the bench; `seed` is its flag. */
export async function runFairness(flags: BenchFlags): Promise<object> {
	const seed = Number(flags.seed ?? 5);
	const engines = createFleet(Number(flags.engines ?? 40));
	const demands = createDemands(computeFleetBound(engines));
	const time = new VirtualTime();
	const seen = startDemand({
		time,
		site: new TimedSite(time, engines, nearLinkTime),
		demands,
		random: createRandom(seed),
		entryCount,
		countFrom: warmUpMs,
	});
	time.run(warmUpMs + measuredMs);
	const rates = demands.map(
		({customer}) => (seen.get(customer)!.tokens * msPerSecond) / measuredMs,
	);
	const due = computeDueShares(demands, rates);
	const errors = rates.map((rate, index) => Math.abs(rate / due[index]! - 1));
	return {
		worst_share_error: round(Math.max(...errors)),
		customers: demands.map(({customer, weight, tokensPerSecond}, index) => ({
			customer,
			weight,
			asked: Math.round(tokensPerSecond),
			due: Math.round(due[index]!),
			got: Math.round(rates[index]!),
			error: round(errors[index]!),
		})),
		tokens_per_second: Math.round(rates.reduce((sum, rate) => sum + rate, 0)),
		seed,
	};
}

function createDemands(bound: number): Demand[] {
	const sum = weights.reduce((total, weight) => total + weight, 0);
	return weights.map((weight, index) => {
		const factor = greedy.has(index)
			? greedyFactor
			: modest.has(index)
				? modestFactor
				: demandFactor;
		return {
			customer: `customer-${index}`,
			weight,
			// What runs under the targets is below the bound; half of it is the unit.
			tokensPerSecond: (factor * 0.5 * bound * weight) / sum,
			entryShares: skews[index % skews.length]!,
			shapes: index % 2 === 0 ? small : large,
		};
	});
}

/** Weighted max-min shares of what ran, none above what was asked for. */
function computeDueShares(
	demands: readonly Demand[],
	rates: readonly number[],
): number[] {
	const due = demands.map(() => 0);
	let left = rates.reduce((sum, rate) => sum + rate, 0);
	let open = [...demands.keys()];
	while (open.length > 0) {
		const sum = open.reduce(
			(total, index) => total + demands[index]!.weight,
			0,
		);
		const level = left / sum;
		const met = open.filter(
			(index) =>
				demands[index]!.tokensPerSecond <= level * demands[index]!.weight,
		);
		if (met.length === 0) {
			for (const index of open) {
				due[index] = level * demands[index]!.weight;
			}

			break;
		}

		for (const index of met) {
			due[index] = demands[index]!.tokensPerSecond;
			left -= due[index];
		}

		open = open.filter((index) => !met.includes(index));
	}

	return due;
}

const round = (value: number) => Math.round(value * 1000) / 1000;

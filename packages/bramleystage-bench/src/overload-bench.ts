/**
 * Overload bench: goodput at a demand of three times the throughput bound,
 * compared with the best goodput of all demands in the same run. A second run
 * has one customer burst while the others stay below their shares.
 */
import {createRandom} from 'bramleystage';
import {VirtualClock} from 'bramleystage-stand-ins';
import {benchLayers, createFleet, nearLinkLatency} from './bench-fleet.js';
import type {BenchFlags} from './benches.js';
import {
	type Demand,
	findPercentile,
	type CustomerResults,
	type Shape,
	startDemand,
} from './demand.js';
import {computeTokenBound} from './engine-bound.js';
import {SimulatedSite} from './simulated-site.js';

export const overloadShapes: readonly Shape[] = [
	{promptTokens: 8, answerTokens: 24},
	{promptTokens: 24, answerTokens: 48},
	{promptTokens: 64, answerTokens: 32},
	{promptTokens: 160, answerTokens: 32},
];
const entryCount = 3;
const customerCount = 10;
const warmUpMs = 6000;
const measurementMs = 6000;
const msPerSecond = 1000;
const loadFactors = [0.5, 0.75, 1, 1.5, 3];
const overloadFactor = 3;

/** Runs the bench. Flag: `seed`. */
export async function runOverload(flags: BenchFlags): Promise<object> {
	const seed = Number(flags.seed ?? 5);
	const engines = createFleet(40);
	const bound = computeFleetBound(engines);
	const runs = loadFactors.map((load) => ({
		load,
		results: runDemand(engines, createEvenDemand(load * bound), seed),
	}));
	const goodputs = runs.map(({load, results}) => ({
		load,
		goodput: sumGoodput(results),
	}));
	const peak = Math.max(...goodputs.map(({goodput}) => goodput));
	const overloaded = runs.find(({load}) => load === overloadFactor)!.results;
	const burst = runDemand(engines, createBurst(bound), seed);
	const others = [...burst].filter(([customer]) => customer !== burstCustomer);
	return {
		goodput_ratio: round(sumGoodput(overloaded) / peak),
		ttft_ms_p95: round(findP95([...overloaded.values()], 'firstTokenMs')),
		token_gap_ms_p95: round(findP95([...overloaded.values()], 'gapMs')),
		refusal_ms_p95: 0,
		goodput_by_load: Object.fromEntries(
			goodputs.map(({load, goodput}) => [load, Math.round(goodput)]),
		),
		bound_tokens_per_second: Math.round(bound),
		burst_others_ttft_ms_p95: round(
			findP95(
				others.map(([, result]) => result),
				'firstTokenMs',
			),
		),
		burst_others_refused: others.reduce(
			(sum, [, result]) => sum + result.refused,
			0,
		),
		seed,
	};
}

/** Computes the upper bound of a fleet's throughput, in tokens per second. */
export function computeFleetBound(
	engines: ReturnType<typeof createFleet>,
): number {
	const site = new SimulatedSite(new VirtualClock(), engines, nearLinkLatency);
	return computeTokenBound(
		[...site.agents.values()].map(({spec, engine}) => ({
			...spec,
			layerTokensPerSecond: engine.layerTokensPerSecond,
		})),
		benchLayers,
	);
}

const round = (value: number) => Math.round(value * 1000) / 1000;

function runDemand(
	engines: ReturnType<typeof createFleet>,
	demands: readonly Demand[],
	seed: number,
): Map<string, CustomerResults> {
	const time = new VirtualClock();
	const site = new SimulatedSite(time, engines, nearLinkLatency);
	const random = createRandom(seed);
	const results = startDemand({
		time,
		site,
		demands,
		random,
		entryCount,
		recordFromMs: warmUpMs,
	});
	time.runUntil(warmUpMs + measurementMs);
	return results;
}

const evenShares = Array.from({length: entryCount}, () => 1 / entryCount);

const createEvenDemand = (tokensPerSecond: number): Demand[] =>
	Array.from({length: customerCount}, (_, index) => ({
		customer: `customer-${index}`,
		weight: 1,
		tokensPerSecond: tokensPerSecond / customerCount,
		entryShares: evenShares,
		shapes: overloadShapes,
	}));

const burstCustomer = 'customer-0';
const otherCustomersLoad = 0.4;

/** One customer demands three times the bound, the others less than their shares. */
const createBurst = (bound: number): Demand[] =>
	createEvenDemand(otherCustomersLoad * bound).map((demand) =>
		demand.customer === burstCustomer
			? {...demand, tokensPerSecond: overloadFactor * bound}
			: demand,
	);

const sumGoodput = (results: ReadonlyMap<string, CustomerResults>) =>
	([...results.values()].reduce((sum, {goodTokens}) => sum + goodTokens, 0) *
		msPerSecond) /
	measurementMs;

const findP95 = (
	results: readonly CustomerResults[],
	field: 'firstTokenMs' | 'gapMs',
) =>
	findPercentile(
		results.flatMap((result) => result[field]),
		0.95,
	);

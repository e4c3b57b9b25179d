/**
 * Overload: demand of three times the bound, against the best goodput over
 * smaller demands in the same run. One customer's burst is part of it.
 */
import {createRandom} from 'bramleystage';
import {benchLayers, createFleet, nearLinkTime} from './bench-fleet.js';
import type {BenchFlags} from './benches.js';
import {
	type Demand,
	findPercentile,
	type Seen,
	type Shape,
	startDemand,
} from './demand.js';
import {computeTokenBound} from './engine-bound.js';
import {TimedSite} from './timed-site.js';
import {VirtualTime} from './virtual-time.js';

export const overloadShapes: readonly Shape[] = [
	{promptTokens: 8, answerTokens: 24},
	{promptTokens: 24, answerTokens: 48},
	{promptTokens: 64, answerTokens: 32},
	{promptTokens: 160, answerTokens: 32},
];
const entryCount = 3;
const customerCount = 10;
const warmUpMs = 6000;
const measuredMs = 6000;
const msPerSecond = 1000;
const loads = [0.5, 0.75, 1, 1.5, 3];
const overload = 3;

/** Runs the bench; `seed` is its flag. */
export async function runOverload(flags: BenchFlags): Promise<object> {
	const seed = Number(flags.seed ?? 5);
	const engines = createFleet(40);
	const bound = computeFleetBound(engines);
	const runs = loads.map((load) => ({
		load,
		seen: runDemand(engines, createEvenDemand(load * bound), seed),
	}));
	const goodputs = runs.map(({load, seen}) => ({
		load,
		goodput: sumGoodput(seen),
	}));
	const peak = Math.max(...goodputs.map(({goodput}) => goodput));
	const worst = runs.find(({load}) => load === overload)!.seen;
	const burst = runDemand(engines, createBurst(bound), seed);
	const others = [...burst].filter(([customer]) => customer !== burstCustomer);
	return {
		goodput_ratio: round(sumGoodput(worst) / peak),
		ttft_ms_p95: round(findSeen([...worst.values()], 'firstTokenMs')),
		token_gap_ms_p95: round(findSeen([...worst.values()], 'gapMs')),
		refusal_ms_p95: 0,
		goodput_by_load: Object.fromEntries(
			goodputs.map(({load, goodput}) => [load, Math.round(goodput)]),
		),
		bound_tokens_per_second: Math.round(bound),
		burst_others_ttft_ms_p95: round(
			findSeen(
				others.map(([, seen]) => seen),
				'firstTokenMs',
			),
		),
		burst_others_refused: others.reduce(
			(sum, [, seen]) => sum + seen.refused,
			0,
		),
		seed,
	};
}

export function computeFleetBound(
	engines: ReturnType<typeof createFleet>,
): number {
	const site = new TimedSite(new VirtualTime(), engines, nearLinkTime);
	return computeTokenBound(
		[...site.agents.values()].map(({facts, engine}) => ({
			...facts,
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
): Map<string, Seen> {
	const time = new VirtualTime();
	const site = new TimedSite(time, engines, nearLinkTime);
	const random = createRandom(seed);
	const seen = startDemand({
		time,
		site,
		demands,
		random,
		entryCount,
		countFrom: warmUpMs,
	});
	time.run(warmUpMs + measuredMs);
	return seen;
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
const othersLoad = 0.4;

/** One customer asks for far more than the bound, the others for less than their shares. */
const createBurst = (bound: number): Demand[] =>
	createEvenDemand(othersLoad * bound).map((demand) =>
		demand.customer === burstCustomer
			? {...demand, tokensPerSecond: overload * bound}
			: demand,
	);

const sumGoodput = (seen: ReadonlyMap<string, Seen>) =>
	([...seen.values()].reduce((sum, {goodTokens}) => sum + goodTokens, 0) *
		msPerSecond) /
	measuredMs;

const findSeen = (seen: readonly Seen[], field: 'firstTokenMs' | 'gapMs') =>
	findPercentile(
		seen.flatMap((each) => each[field]),
		0.95,
	);

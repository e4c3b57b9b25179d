/**
 * Throughput bench: throughput at saturation relative to the upper bound that
 * follows from the engines' rates, compared with simpler routing policies in the
 * same run.
 */
import {
	createRandom,
	type DrawIndex,
	type HostsSnapshot,
	listAvailableHosts,
	listCandidates,
	type Stage,
	type StageCandidate,
} from 'bramleystage';
import {Router} from 'bramleystage-entry';
import {VirtualClock} from 'bramleystage-stand-ins';
import {benchLayers, createFleet, fleetLinkLatency} from './bench-fleet.js';
import type {BenchFlags} from './benches.js';
import {computeTokenBound} from './engine-bound.js';
import {
	listSiteEngines,
	measureSite,
	siteDeployment,
} from './site-throughput.js';
import {benchModel, type EngineSpec, SimulatedSite} from './simulated-site.js';

type Shape = {readonly promptTokens: number; readonly answerTokens: number};
type Choose = (shape: Shape, now: number) => readonly Stage[];

const mixedShapes: readonly Shape[] = [
	{promptTokens: 16, answerTokens: 32},
	{promptTokens: 64, answerTokens: 64},
	{promptTokens: 200, answerTokens: 32},
	{promptTokens: 600, answerTokens: 24},
];
const entryCount = 4;
const reportIntervalMs = 250;
const warmUpMs = 8000;
const measurementMs = 12_000;
const msPerSecond = 1000;

/** Creates a seeded random source of indexes. */
export function createDrawIndex(seed: number): DrawIndex {
	const random = createRandom(seed);
	return (bound) => Math.floor(random() * bound);
}

const policies = {
	cost: 'the exported router',
	random: 'a random host that holds the next layer',
	roundRobin: 'each host that holds the next layer in turn',
	leastInFlight: 'the host with the fewest requests of the entry in flight',
} as const;
type Policy = keyof typeof policies;

/** Runs the bench. Flags: `concurrent`, `engines`, `seed`, `site` and, only with `site`, `answer`. */
export async function runThroughput(flags: BenchFlags): Promise<object> {
	if (flags.site !== undefined) {
		return compareSite(
			Number(flags.concurrent ?? 32),
			Number(flags.answer ?? 24),
		);
	}

	const concurrent = Number(flags.concurrent ?? 4000);
	const seed = Number(flags.seed ?? 5);
	const engines = createFleet(Number(flags.engines ?? 40));
	const idleSite = new SimulatedSite(
		new VirtualClock(),
		engines,
		fleetLinkLatency,
	);
	const bound = computeTokenBound(
		[...idleSite.agents.values()].map(({spec, engine}) => ({
			...spec,
			layerTokensPerSecond: engine.layerTokensPerSecond,
		})),
		benchLayers,
	);
	const measure = (policy: Policy) =>
		measurePolicy(policy, {concurrent, seed, engines});
	const tokens = measure('cost');
	return {
		tokens_per_second: Math.round(tokens),
		bound_tokens_per_second: Math.round(bound),
		ratio_to_bound: round(tokens / bound),
		random_ratio: round(measure('random') / bound),
		round_robin_ratio: round(measure('roundRobin') / bound),
		least_in_flight_ratio: round(measure('leastInFlight') / bound),
		concurrent,
		seed,
	};
}

/** Compares a small site over real sockets with simulated engines of the same kinds. */
async function compareSite(
	concurrent: number,
	answerTokens: number,
): Promise<object> {
	const {layers} = siteDeployment;
	const shape = {promptTokens: 40, answerTokens};
	const engines = listSiteEngines();
	const timed = measurePolicy('cost', {
		concurrent,
		seed: 5,
		engines,
		layers,
		shapes: [shape],
	});
	const site = await measureSite({concurrent, ...shape});
	return {
		concurrent,
		site,
		timed_tokens_per_second: Math.round(timed),
		site_ratio_to_timed: round(site.tokens_per_second / timed),
	};
}

const round = (value: number) => Math.round(value * 1000) / 1000;

type MeasureOptions = {
	readonly concurrent: number;
	readonly seed: number;
	readonly engines: readonly EngineSpec[];
	readonly layers?: number;
	readonly shapes?: readonly Shape[];
};

/** Returns the throughput of a policy on simulated engines, in tokens per second. */
function measurePolicy(
	policy: Policy,
	{
		concurrent,
		seed,
		engines,
		layers = benchLayers,
		shapes = mixedShapes,
	}: MeasureOptions,
): number {
	const time = new VirtualClock();
	const site = new SimulatedSite(time, engines, fleetLinkLatency);
	const draw = createDrawIndex(seed);
	const entries = Array.from({length: entryCount}, (_, index) =>
		policy === 'cost'
			? createRouterPolicy(site, {draw, layers}, index)
			: createSimplePolicy(policy, site.hosts, draw),
	);
	const send = (index: number) => {
		const shape = shapes[draw(shapes.length)]!;
		const entry = entries[index % entryCount]!;
		const {stages, finish} = entry(shape, time.now);
		site.run(
			{
				...shape,
				customer: `customer-${index % 10}`,
				weight: 1,
				priority: 5,
				onToken(isLast) {
					if (isLast) {
						finish();
						send(index);
					}
				},
			},
			stages,
		);
	};

	for (let index = 0; index < concurrent; index++) {
		time.schedule(draw(500), () => {
			send(index);
		});
	}

	time.runUntil(warmUpMs);
	const tokensBefore = site.processedTokens;
	time.runUntil(warmUpMs + measurementMs);
	return ((site.processedTokens - tokensBefore) * msPerSecond) / measurementMs;
}

type ChosenStages = {
	readonly stages: readonly Stage[];
	readonly finish: () => void;
};
type ChooseStages = (shape: Shape, now: number) => ChosenStages;

const doNothing = () => undefined;

function createRouterPolicy(
	site: SimulatedSite,
	{draw, layers}: {readonly draw: DrawIndex; readonly layers: number},
	index: number,
): ChooseStages {
	const router = new Router({drawIndex: draw, candidatesPerRange: 4});
	site.startLoadReports(
		reportIntervalMs,
		(index * reportIntervalMs) / entryCount,
		(host) => {
			router.recordReport(host, host.reportedAt);
		},
	);
	const model = {model: benchModel, version: '1', layers};
	return (shape, now) => ({
		stages: router
			.chooseStages(site.hosts, {...model, ...shape}, [], now)
			._unsafeUnwrap(),
		finish: doNothing,
	});
}

/** Builds pipelines host by host: each chosen host runs all layers that it holds from the next layer on. */
function createSimplePolicy(
	policy: Exclude<Policy, 'cost'>,
	hosts: HostsSnapshot,
	draw: DrawIndex,
): ChooseStages {
	const candidates = listCandidates(listAvailableHosts(hosts), {
		model: benchModel,
		version: '1',
	});
	const inFlight = new Map<StageCandidate, number>();
	let nextTurn = 0;
	const countInFlight = (candidate: StageCandidate) =>
		inFlight.get(candidate) ?? 0;
	const updateInFlight = (candidate: StageCandidate, change: number) => {
		inFlight.set(candidate, countInFlight(candidate) + change);
	};

	const pick = (eligible: readonly StageCandidate[]): StageCandidate => {
		if (policy === 'random') {
			return eligible[draw(eligible.length)]!;
		}

		if (policy === 'roundRobin') {
			return eligible[nextTurn++ % eligible.length]!;
		}

		return eligible.toSorted((a, b) => countInFlight(a) - countInFlight(b))[0]!;
	};

	return () => {
		const used: StageCandidate[] = [];
		const stages: Stage[] = [];
		let next = 0;
		while (next < benchLayers) {
			const fromLayer = next;
			const eligible = candidates.filter(
				({offer}) => offer.fromLayer <= fromLayer && fromLayer < offer.toLayer,
			);
			const candidate = pick(eligible);
			const {host, address, incarnation} = candidate.host;
			next = candidate.offer.toLayer;
			stages.push({host, address, incarnation, fromLayer, toLayer: next});
			used.push(candidate);
			updateInFlight(candidate, 1);
		}

		return {
			stages,
			finish() {
				for (const candidate of used) {
					updateInFlight(candidate, -1);
				}
			},
		};
	};
}

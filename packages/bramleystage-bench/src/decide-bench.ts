/**
 * What a routing decision costs at 40, 400 and 3,700 engines: time, bytes
 * allocated, and the state that the router holds. The index of ranges is
 * rebuilt as in the entry, at most ten times a second.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Router} from 'bramleystage-entry';
import {benchLayers, createFleet, nearLinkTime} from './bench-fleet.js';
import type {BenchFlags} from './benches.js';
import {createDraw} from './throughput-bench.js';
import {benchModel, TimedSite} from './timed-site.js';
import {VirtualTime} from './virtual-time.js';

const sizes = [40, 400, 3700];
const batches = 600;
const batchDecisions = 5;
const warmUpBatches = 200;
const buildSamples = 20;
/** Virtual time between two decisions, in milliseconds. */
const spacingMs = 1;
const shape = {promptTokens: 200, answerTokens: 64};
const usPerMs = 1000;

type Figures = {
	readonly decision_us: number;
	readonly bytes_allocated: number;
	readonly state_bytes: number;
	readonly index_build_us: number;
};

/** Runs the bench; `seed` is its flag. */
export async function runDecide(flags: BenchFlags): Promise<object> {
	const seed = Number(flags.seed ?? 5);
	const collect = createCollector();
	const bySize = Object.fromEntries(
		sizes.map((size) => [size, measureSize(size, seed, collect)]),
	);
	const [smallest, largest] = [bySize[sizes[0]!]!, bySize[sizes.at(-1)!]!];
	return {
		by_engines: bySize,
		time_growth: round(largest.decision_us / smallest.decision_us),
		bytes_growth: round(largest.bytes_allocated / smallest.bytes_allocated),
		seed,
	};
}

function createCollector(): () => void {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
}

function measureSize(size: number, seed: number, collect: () => void): Figures {
	const site = new TimedSite(
		new VirtualTime(),
		createFleet(size),
		nearLinkTime,
	);
	collect();
	const heapBefore = process.memoryUsage().heapUsed;
	const router = new Router({drawIndex: createDraw(seed), choices: 4});
	for (const host of site.hosts.connected.values()) {
		router.recordReport(host, 0);
	}

	const model = {model: benchModel, version: '1', layers: benchLayers};
	let now = 0;
	const decide = () => {
		now += spacingMs;
		router
			.chooseStages(site.hosts, {...model, ...shape}, [], now)
			._unsafeUnwrap();
	};

	decide();
	collect();
	const stateBytes = process.memoryUsage().heapUsed - heapBefore;
	const {us, bytes} = measureBatches(decide);
	const builds = measureBuilds(() => {
		now += 1000;
		decide();
	});
	return {
		decision_us: round(us),
		bytes_allocated: Math.round(bytes),
		state_bytes: stateBytes,
		index_build_us: round(Math.max(0, builds - us)),
	};
}

function measureBuilds(decide: () => void): number {
	return findMedian(
		Array.from({length: buildSamples}, () => {
			const startedAt = performance.now();
			decide();
			return (performance.now() - startedAt) * usPerMs;
		}),
	);
}

function measureBatches(decide: () => void): {us: number; bytes: number} {
	const times: number[] = [];
	const bytes: number[] = [];
	for (let batch = 0; batch < warmUpBatches + batches; batch++) {
		const heapBefore = process.memoryUsage().heapUsed;
		const startedAt = performance.now();
		for (let index = 0; index < batchDecisions; index++) {
			decide();
		}

		const tookMs = performance.now() - startedAt;
		const grown = process.memoryUsage().heapUsed - heapBefore;
		// A collection within the batch hides what was allocated.
		if (batch >= warmUpBatches && grown > 0) {
			times.push((tookMs * usPerMs) / batchDecisions);
			bytes.push(grown / batchDecisions);
		}
	}

	return {us: findMedian(times), bytes: findMedian(bytes)};
}

const findMedian = (values: readonly number[]) =>
	values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
const round = (value: number) => Math.round(value * 100) / 100;

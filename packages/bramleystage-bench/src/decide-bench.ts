/**
 * `bench decide`: measures the cost of a routing decision with 40, 400 and 3,700
 * engines: time, allocated bytes, and the heap bytes of the router's state. As
 * in an entry, the router rebuilds its index of layer ranges at most ten times a
 * second.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Router} from 'bramleystage-entry';
import {VirtualClock} from 'bramleystage-stand-ins';
import {benchLayers, createFleet, nearLinkLatency} from './bench-fleet.js';
import type {BenchFlags} from './benches.js';
import {createDrawIndex} from './throughput-bench.js';
import {benchModel, SimulatedSite} from './simulated-site.js';

const sizes = [40, 400, 3700];
const measuredBatches = 600;
const decisionsPerBatch = 5;
const warmUpBatches = 200;
const indexBuildSamples = 20;
/** Virtual time between two decisions. */
const decisionIntervalMs = 1;
const requestShape = {promptTokens: 200, answerTokens: 64};
const usPerMs = 1000;

type SizeFigures = {
	readonly decision_us: number;
	readonly bytes_allocated: number;
	readonly state_bytes: number;
	readonly index_build_us: number;
};

/** Runs the bench; `seed` is its flag. */
export async function runDecideBench(flags: BenchFlags): Promise<object> {
	const seed = Number(flags.seed ?? 5);
	const collectGarbage = createGarbageCollector();
	const bySize = Object.fromEntries(
		sizes.map((size) => [size, measureSize(size, seed, collectGarbage)]),
	);
	const [smallest, largest] = [bySize[sizes[0]!]!, bySize[sizes.at(-1)!]!];
	return {
		by_engines: bySize,
		time_growth: round(largest.decision_us / smallest.decision_us),
		bytes_growth: round(largest.bytes_allocated / smallest.bytes_allocated),
		seed,
	};
}

function createGarbageCollector(): () => void {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
}

function measureSize(
	size: number,
	seed: number,
	collectGarbage: () => void,
): SizeFigures {
	const site = new SimulatedSite(
		new VirtualClock(),
		createFleet(size),
		nearLinkLatency,
	);
	collectGarbage();
	const heapBefore = process.memoryUsage().heapUsed;
	const router = new Router({
		drawIndex: createDrawIndex(seed),
		candidatesPerRange: 4,
	});
	for (const host of site.hosts.connected.values()) {
		router.recordReport(host, 0);
	}

	const model = {model: benchModel, version: '1', layers: benchLayers};
	let now = 0;
	const decide = () => {
		now += decisionIntervalMs;
		router
			.chooseStages(site.hosts, {...model, ...requestShape}, [], now)
			._unsafeUnwrap();
	};

	decide();
	collectGarbage();
	const stateBytes = process.memoryUsage().heapUsed - heapBefore;
	const {us: decisionUs, bytes} = measureBatches(decide);
	const decisionWithBuildUs = measureDecisionsWithBuild(() => {
		now += 1000;
		decide();
	});
	return {
		decision_us: round(decisionUs),
		bytes_allocated: Math.round(bytes),
		state_bytes: stateBytes,
		index_build_us: round(Math.max(0, decisionWithBuildUs - decisionUs)),
	};
}

function measureDecisionsWithBuild(decide: () => void): number {
	return findMedian(
		Array.from({length: indexBuildSamples}, () => {
			const startedAt = performance.now();
			decide();
			return (performance.now() - startedAt) * usPerMs;
		}),
	);
}

function measureBatches(decide: () => void): {us: number; bytes: number} {
	const times: number[] = [];
	const bytes: number[] = [];
	for (let batch = 0; batch < warmUpBatches + measuredBatches; batch++) {
		const heapBefore = process.memoryUsage().heapUsed;
		const startedAt = performance.now();
		for (let index = 0; index < decisionsPerBatch; index++) {
			decide();
		}

		const elapsedMs = performance.now() - startedAt;
		const allocatedBytes = process.memoryUsage().heapUsed - heapBefore;
		// A garbage collection during the batch would hide allocated bytes.
		if (batch >= warmUpBatches && allocatedBytes > 0) {
			times.push((elapsedMs * usPerMs) / decisionsPerBatch);
			bytes.push(allocatedBytes / decisionsPerBatch);
		}
	}

	return {us: findMedian(times), bytes: findMedian(bytes)};
}

const findMedian = (values: readonly number[]) =>
	values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
const round = (value: number) => Math.round(value * 100) / 100;

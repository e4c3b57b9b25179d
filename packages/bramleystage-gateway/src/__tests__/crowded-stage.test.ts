/**
 * First stages with all slots taken, and ones that end while they are crowded, without
 * network. Load pattern: streams of several paths wait a second for their first events at
 * one engine, as measured there with 134 slots taken.
 */
import {
	LifeCycle,
	type PathStage,
	toBackendId,
	toDataCentreId,
	waitFor,
} from 'bramleystage';
import {err, ok} from 'neverthrow';
import {Registry} from 'prom-client';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {Fleet} from '../fleet.js';
import {InstanceWatch} from '../instance-watch.js';
import {registerPathMetrics} from '../path-metrics.js';
import type {EnginePort} from '../platform-port.js';
import {StreamMonitor} from '../stream-monitor.js';
import type {StreamRun} from '../stream-run.js';
import {noLimits, noPermits} from './no-limits.js';

const lines: string[] = [];
const log = (event: string) => {
	lines.push(event);
};

const logger = {error: log, warn: log, info: log, debug: log};
const crowd = {running: 134, waiting: 30, slots: 134};
const crowdedId = toBackendId('crowded');

/** Creates a path from the crowded engine to one of its own. */
const createPath = (index: number): PathStage[] => [
	{id: crowdedId, address: '10.0.0.1:1', layers: {from: 0, to: 4}},
	{
		id: toBackendId(`next-${index}`),
		address: `10.0.1.1:${index}`,
		layers: {from: 4, to: 8},
	},
];

let lifeCycle: LifeCycle;

beforeEach(() => {
	vi.useFakeTimers();
	lines.length = 0;
	lifeCycle = new LifeCycle();
});

afterEach(async () => {
	await lifeCycle.stop();
	vi.useRealTimers();
});

/** Starts a monitor over an engine that reports until `endsAt`, in milliseconds from now. */
function startMonitor(queued: number, endsAt = Number.POSITIVE_INFINITY) {
	const readClock = () => performance.now();
	const startedAt = readClock();
	const fleet = new Fleet({
		dataCentre: toDataCentreId('a'),
		logger,
		readClock,
		countGateways: () => 27,
		readLinkDelayMs: () => 0,
	});
	const reportedAt: number[] = [];
	const readReport: EnginePort['readReport'] = async (_address, timeoutMs) => {
		reportedAt.push(readClock() - startedAt);
		const isAlive = readClock() - startedAt < endsAt;
		await waitFor(isAlive ? 3 : timeoutMs);
		return isAlive
			? ok({
					orderCount: 0,
					isBusy: false,
					queued,
					running: 134,
					cacheUsed: 0,
					cacheTotal: 100,
					slowness: 1,
					stalled: [],
					bornAt: 1,
					isLeaving: false,
				})
			: err({kind: 'unreachable', detail: 'No answer.'});
	};

	const base = {fleet, logger, readClock, lifeCycle, readLinkDelayMs: () => 0};
	const monitor = new StreamMonitor({
		...base,
		instances: new InstanceWatch({
			...base,
			limits: noLimits,
			permits: noPermits,
			readReport,
		}),
	});
	const leftAt: number[] = [];
	const addStream = (index: number, silentMs: number, hasEvents = false) => {
		const stream = {
			path: createPath(index),
			hasEvents,
			lastProgressAt: readClock() - silentMs,
			failOver() {
				leftAt.push(readClock() - startedAt);
				unregister();
			},
		};
		const unregister = monitor.register(stream as unknown as StreamRun);
		return stream;
	};

	/** Lets a stream have an event every 20 ms until the engine ends. */
	const sendEvents = (stream: ReturnType<typeof addStream>) => {
		lifeCycle.registerInterval(20, () => {
			if (readClock() - startedAt < endsAt) {
				stream.lastProgressAt = readClock();
				monitor.recordPause(stream.path, 20);
			}
		});
	};

	return {fleet, monitor, reportedAt, leftAt, addStream, sendEvents};
}

// Guards against a queue that is taken for silence: 277 lines path.silent in 14 s without a
// fault, and the reports that all gateways read for them.
test('waits that the reported load explains cause no inspection and no other path', async () => {
	const {fleet, reportedAt, leftAt, addStream, sendEvents} = startMonitor(30);
	sendEvents(addStream(0, 0, true));
	fleet.costs.recordReport(crowdedId, crowd);
	for (let index = 1; index <= 10; index++) {
		addStream(index, 0);
	}

	await vi.advanceTimersByTimeAsync(950);
	expect(reportedAt).toEqual([]);
	expect(leftAt).toEqual([]);
	expect(lines.filter((line) => line === 'path.crowded')).toHaveLength(1);
});

// Guards against gateways that the engine's answers don't reach in time: the delays of the
// streams there show the queue as well.
test('waits that a rise of all first-event delays at the engine explains cause none either', async () => {
	const {monitor, reportedAt, leftAt, addStream, sendEvents} = startMonitor(0);
	sendEvents(addStream(0, 0, true));
	for (let count = 0; count < 10; count++) {
		monitor.recordFirstEvent(600, createPath(0));
	}

	addStream(1, 0);
	await vi.advanceTimersByTimeAsync(1400);
	expect(reportedAt).toEqual([]);
	expect(leftAt).toEqual([]);
});

// Guards against a crowded engine that each gateway asks for a report for each of its paths.
test('one report answers for all silent paths of an engine, and reports are spaced', async () => {
	const {reportedAt, addStream, monitor, fleet} = startMonitor(0);
	for (let index = 0; index < 10; index++) {
		monitor.recordPause(createPath(index), 100);
		addStream(index, 400 + 7 * index);
	}

	await vi.advanceTimersByTimeAsync(1000);
	expect(reportedAt.length).toBeGreaterThan(0);
	// One for each path every 150 ms were 60 or more.
	expect(reportedAt.length).toBeLessThanOrEqual(7);
	const registry = new Registry();
	registerPathMetrics(registry, fleet.paths, monitor);
	expect(await registry.metrics()).toContain(
		`bramleystage_gateway_engine_inspections_total ${reportedAt.length}`,
	);
});

// Failure: the engine ends while requests wait there. Guards against streams that stay with
// it because its last report explains the wait.
test('streams leave an engine that ends while it is crowded as soon as one with events is silent', async () => {
	const {fleet, reportedAt, leftAt, addStream, sendEvents} = startMonitor(
		30,
		600,
	);
	sendEvents(addStream(0, 0, true));
	fleet.costs.recordReport(crowdedId, crowd);
	for (let index = 1; index <= 10; index++) {
		addStream(index, 0);
	}

	await vi.advanceTimersByTimeAsync(599);
	expect(leftAt).toEqual([]);
	await vi.advanceTimersByTimeAsync(300);
	// Silence of 80 ms, a check every 20 ms and a report that times out after 150 ms, as before.
	expect(leftAt).toHaveLength(11);
	expect(Math.max(...leftAt)).toBeLessThanOrEqual(600 + 80 + 20 + 150 + 2);
	expect(reportedAt).toHaveLength(1);
});

// Failure: as above, for a gateway whose streams there all wait still. Its last sign of the
// engine counts for 150 ms, the time between two inspections; the report takes 150 ms.
test('streams without events leave an engine that ends while it is crowded within 0.33 s', async () => {
	const {fleet, leftAt, addStream} = startMonitor(30, 0);
	fleet.costs.recordReport(crowdedId, crowd);
	addStream(1, 340);
	await vi.advanceTimersByTimeAsync(330);
	expect(leftAt).toHaveLength(1);
	expect(fleet.health.isAvoided(crowdedId)).toBe(true);
});

test('a wait that nothing explains any more is inspected', async () => {
	const {fleet, reportedAt, addStream} = startMonitor(0);
	fleet.costs.recordReport(crowdedId, {running: 3, waiting: 0, slots: 134});
	addStream(1, 340);
	await vi.advanceTimersByTimeAsync(40);
	expect(reportedAt).toHaveLength(1);
});

// Failure: an engine after the crowded one ends. Guards against streams that wait there for
// an engine that is known to be out of reach.
test('a path with an engine that can not be reached is inspected although its first engine is crowded', async () => {
	const {fleet, reportedAt, addStream, sendEvents} = startMonitor(30);
	sendEvents(addStream(0, 0, true));
	fleet.costs.recordReport(crowdedId, crowd);
	addStream(1, 0);
	addStream(2, 0);
	await vi.advanceTimersByTimeAsync(400);
	expect(reportedAt).toEqual([]);
	fleet.health.recordFailure(
		createPath(2)[1]!.id,
		'unreachable',
		'No connection.',
	);
	await vi.advanceTimersByTimeAsync(40);
	expect(reportedAt).toHaveLength(1);
});

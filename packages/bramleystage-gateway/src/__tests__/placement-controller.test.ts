/** Decides placement against engines in memory, without network. */
import {
	type Backend,
	LifeCycle,
	toBackendId,
	toDataCentreId,
	toModelName,
	toServiceName,
	waitFor,
} from 'bramleystage';
import {err, ok} from 'neverthrow';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {Fleet} from '../fleet.js';
import {InstanceWatch} from '../instance-watch.js';
import type {GatewayGroup} from '../gateway-group.js';
import {startPlacement} from '../placement-controller.js';
import type {EnginePort, EngineReport} from '../platform-port.js';
import {noLimits, noPermits} from './no-limits.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};
const service = {
	name: toServiceName('models'),
	maxConnections: 100,
	pipeline: {
		model: toModelName('guide'),
		layers: 8,
		layerMegabytes: 100,
		kvTokenBytes: 8000,
		slots: 100,
		stepMs: 1,
		prefillTokensPerMs: 100,
		tokensPerEvent: 2,
		activationBytes: 1000,
		linkMbps: 1000,
		loadMs: 60_000,
		kinds: new Map([
			['big', {megabytes: 900, stepFactor: 1, prefillFactor: 1}],
		]),
	},
};
/** Report of an engine that has no work and no order. */
const idleReport: EngineReport = {
	orderCount: 0,
	isBusy: false,
	queued: 0,
	running: 0,
	cacheUsed: 0,
	cacheTotal: 0,
	slowness: 1,
	stalled: [],
	bornAt: 1,
	isLeaving: false,
};
const createEngine = (
	name: string,
	layers?: {from: number; to: number},
): Backend => ({
	id: toBackendId(name),
	service: service.name,
	address: `10.0.0.1:${name.length}`,
	dataCentre: toDataCentreId('a'),
	isDraining: false,
	kind: 'big',
	layers,
	models: [],
	slots: 100,
	bornAt: 1,
});

let lifeCycle: LifeCycle;
let fleet: Fleet;

beforeEach(() => {
	lifeCycle = new LifeCycle();
	fleet = new Fleet({
		dataCentre: toDataCentreId('a'),
		logger,
		readClock: () => performance.now(),
		countGateways: () => 1,
		readLinkDelayMs: () => 0,
	});
});

afterEach(async () => {
	await lifeCycle.stop();
});

/**
 * Starts placement by leaders that share the engines, which load for longer than
 * the test lasts. Returns the orders that they got and the count of those that
 * each accepted. Reports may lag behind the orders.
 */
function startLeaders(leaders: number, reportLagMs = 0) {
	const orders: Array<{
		address: string;
		backend: string;
		expectedOrders: number;
	}> = [];
	const counts = new Map<string, number>();
	const reported = new Map<string, number>();
	/** Steady-clock times at which reports were read, in milliseconds. */
	const readTimes: number[] = [];
	const engines: EnginePort = {
		async readReport(address) {
			readTimes.push(performance.now());
			return ok({
				...idleReport,
				orderCount: reported.get(address) ?? 0,
				isBusy: reported.has(address),
			});
		},
		async orderLayers(address, {backend, expectedOrders}) {
			orders.push({address, backend, expectedOrders});
			const count = counts.get(address) ?? 0;
			if (count !== expectedOrders) {
				return ok('conflict');
			}

			counts.set(address, count + 1);
			lifeCycle.registerTimeout(reportLagMs, () => {
				reported.set(address, count + 1);
			});
			return ok('accepted');
		},
		replacePath: async () => ok('rejected'),
	};
	const readClock = () => performance.now();
	const instances = new InstanceWatch({
		fleet,
		limits: noLimits,
		permits: noPermits,
		readReport: engines.readReport,
		logger,
		readClock,
	});
	for (let count = 0; count < leaders; count++) {
		startPlacement({
			fleet,
			limits: noLimits,
			permits: noPermits,
			group: {isLeader: true, fence: 1} as unknown as GatewayGroup,
			engines,
			instances,
			listServices: () => [service],
			lifeCycle,
			logger,
			readClock,
		});
	}

	return {orders, counts, readTimes};
}

async function waitForOrder(orders: readonly unknown[]): Promise<void> {
	const until = performance.now() + 5000;
	while (orders.length === 0 && performance.now() < until) {
		await waitFor(20);
	}

	expect(orders).toHaveLength(1);
}

test('an engine whose report lags behind its order gets one order', async () => {
	const engines = [
		createEngine('full', {from: 0, to: 4}),
		createEngine('idle'),
	];
	fleet.replace(engines, 0);
	const {orders} = startLeaders(1, 300);
	await waitFor(1500);
	expect(orders).toHaveLength(1);
});

test.each([0, 300])(
	'two leaders at the time of a hand-over make an engine carry out one order (reports %i ms late)',
	async (reportLagMs) => {
		const engines = [
			createEngine('full', {from: 0, to: 4}),
			createEngine('idle'),
		];
		fleet.replace(engines, 0);
		const {counts} = startLeaders(2, reportLagMs);
		await waitFor(1500);
		expect([...counts.values()]).toEqual([1]);
	},
);

// Guards against orders that are held back from an engine that has started again while the store is away.
test('an engine whose report shows a later start than its entry gets its order, with its id', async () => {
	fleet.replace(
		[
			createEngine('full', {from: 0, to: 4}),
			{...createEngine('idle'), bornAt: idleReport.bornAt - 1},
		],
		0,
	);
	const {orders} = startLeaders(1);
	await waitForOrder(orders);
	expect(orders[0]?.backend).toBe('idle');
});

test('an engine that asked for a pause gets neither orders nor reads of its report until the end', async () => {
	const engines = [
		createEngine('full', {from: 0, to: 4}),
		createEngine('idle'),
	];
	fleet.replace(engines, 0);
	fleet.health.recordPause(toBackendId('idle'), '0.6');
	const {orders, readTimes} = startLeaders(1);
	const startedAt = performance.now();
	await waitForOrder(orders);
	expect(Math.min(...readTimes) - startedAt).toBeGreaterThan(500);
});

test('an engine that leaves gets no order, and its layers go to another one', async () => {
	const engines = [
		createEngine('x', {from: 0, to: 4}),
		createEngine('xx', {from: 4, to: 8}),
		createEngine('xxx'),
	];
	fleet.replace(engines, 0);
	fleet.recordLeaving(toBackendId('x'));
	const {orders} = startLeaders(1);
	await waitForOrder(orders);
	expect(orders.map(({address}) => address)).toEqual(['10.0.0.1:3']);
});

// Guards against an order that ends one engine after the other, as nothing remembers under which orders engines ended.
test('an order under which engines end goes to few of them', async () => {
	const serving = createEngine('full', {from: 0, to: 4});
	const ended = new Set<string>();
	const orders: string[] = [];
	let started = 0;
	const startEngine = () => {
		const id = `idle-${started++}`;
		const entry = {...createEngine(id), address: `10.0.0.2:${started}`};
		fleet.replace([serving, entry], performance.now());
	};

	startEngine();
	const readReport: EnginePort['readReport'] = async (address) =>
		ended.has(address)
			? err({kind: 'refused', detail: 'connect ECONNREFUSED'})
			: ok(idleReport);
	const readClock = () => performance.now();
	startPlacement({
		fleet,
		limits: noLimits,
		permits: noPermits,
		group: {isLeader: true, fence: 1} as unknown as GatewayGroup,
		engines: {
			async orderLayers(address) {
				orders.push(address);
				ended.add(address);
				lifeCycle.registerTimeout(600, startEngine);
				return ok('accepted');
			},
		},
		instances: new InstanceWatch({
			fleet,
			limits: noLimits,
			permits: noPermits,
			readReport,
			logger,
			readClock,
		}),
		listServices: () => [service],
		lifeCycle,
		logger,
		readClock,
	});
	await waitFor(7000);
	expect(orders.length).toBe(3);
});

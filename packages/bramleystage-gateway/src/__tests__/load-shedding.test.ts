import {
	createRandom,
	type Failure,
	type FleetLoad,
	type KeyHolder,
	type Logger,
	type Route,
	type ServiceLoad,
	toServiceName,
	unmeasuredLoad,
} from 'bramleystage';
import {Registry} from 'prom-client';
import {beforeEach, expect, test} from 'vitest';
import {
	LoadShedding,
	type SheddableCall,
	type SheddingState,
} from '../load-shedding.js';
import {createSheddingRecorder} from '../shedding-recorder.js';
import {modelService} from './model-service.js';

const gateways = 10;
/** Twice what 100 slots can take, of two priorities. */
const ownLoad: ServiceLoad = {
	running: 9,
	tokens: 900,
	ends: 3,
	rates: [
		{priority: 1, arrivals: 2, admissions: 1.5},
		{priority: 6, arrivals: 4, admissions: 1.5},
	],
};
const fullFleet: FleetLoad = {
	own: ownLoad,
	fleet: {
		running: ownLoad.running * gateways,
		tokens: ownLoad.tokens * gateways,
		ends: ownLoad.ends * gateways,
		rates: ownLoad.rates.map(({priority, arrivals, admissions}) => ({
			priority,
			arrivals: arrivals * gateways,
			admissions: admissions * gateways,
		})),
	},
	isMeasured: true,
	ageMs: 300,
};

let load: FleetLoad;
let slots: number;
let states: SheddingState[];
let decisions: Array<[number, boolean]>;
let shedding: LoadShedding;

beforeEach(() => {
	load = fullFleet;
	slots = 100;
	states = [];
	decisions = [];
	shedding = new LoadShedding({
		readFleetLoad: () => load,
		readCapacity: () => ({slots, tokens: 1e9}),
		drawRandom: createRandom(1),
		recordDecision(priority, isAdmitted) {
			decisions.push([priority, isAdmitted]);
		},
		recordShedding(state) {
			states.push(state);
		},
	});
});

const buildCall = (
	priority: number,
	overrides: Partial<SheddableCall> = {},
): SheddableCall => ({
	service: modelService,
	route: {priority} as unknown as Route,
	holder: {customer: 'ann'} as unknown as KeyHolder,
	deadlineAt: 60_000,
	metadata: {},
	...overrides,
});

/** Offers 60 calls at each 10 ms. */
const offerCalls = (call: SheddableCall, from = 1000): Failure[] =>
	Array.from({length: 60}, (_, index) =>
		shedding.findRefusal(call, from + index * 10),
	).filter((refusal) => refusal !== undefined);

test('in a shortage the least urgent calls are refused, as not run and with a time to return', () => {
	expect(offerCalls(buildCall(1))).toEqual([]);
	const refusals = offerCalls(buildCall(6));
	// 20 of 30 admissions a second go to priority 1, and 10 to the 40 arrivals of priority 6.
	expect(refusals.length).toBeGreaterThanOrEqual(44);
	expect(refusals.length).toBeLessThanOrEqual(46);
	for (const {result, outcome, retryAfterSeconds} of refusals) {
		expect([result, outcome]).toEqual(['overloaded', 'not-run']);
		expect(retryAfterSeconds).toBeGreaterThanOrEqual(0.25);
	}

	// At one admission of its own a second, places are a second apart.
	expect(refusals[1]?.retryAfterSeconds).toBeCloseTo(
		(refusals[0]?.retryAfterSeconds ?? 0) + 1,
		0,
	);
});

// Guards against the urgent being told to wait behind the others.
test('the less urgent come back later', () => {
	const rates = ownLoad.rates.map((entry) => ({...entry, arrivals: 50}));
	load = {
		...fullFleet,
		own: {...ownLoad, rates},
		fleet: {...fullFleet.fleet, ends: 8, rates},
	};
	const findMean = (priority: number) => {
		const refusals = offerCalls(buildCall(priority, {deadlineAt: 20_000}));
		const first = refusals.slice(0, 3);
		expect(first).toHaveLength(3);
		return first.reduce(
			(sum, {retryAfterSeconds = 0}) => sum + retryAfterSeconds / 3,
			0,
		);
	};

	expect(findMean(1)).toBeLessThan(findMean(6));
});

test('resumptions of started answers are admitted', () => {
	const call = buildCall(6, {metadata: {lastEvent: '12'}});
	expect(offerCalls(call)).toEqual([]);
});

test('plain services are never shed', () => {
	const service = {name: toServiceName('desk'), maxConnections: 10};
	expect(offerCalls(buildCall(6, {service}))).toEqual([]);
	expect(decisions).toEqual([]);
});

// Guards against refusals without need, and against another reason in place of "no pipeline".
test.each([
	['an unknown load', () => ({load: unmeasuredLoad, slots: 100})],
	[
		'less than 0.7 of the capacity in use',
		() => ({load: fullFleet, slots: 130}),
	],
	['no engines', () => ({load: fullFleet, slots: 0})],
	[
		'fewer arrivals than can be admitted',
		() => ({
			load: {
				...fullFleet,
				fleet: {...fullFleet.fleet, rates: ownLoad.rates},
			},
			slots: 100,
		}),
	],
])('nothing is shed with %s', (_, build) => {
	({load, slots} = build());
	expect(offerCalls(buildCall(6))).toEqual([]);
	expect(states).toEqual([]);
});

// Failure: the gateway gets no totals, so its own load times the number of gateways stands for the fleet's.
test('a gateway without fresh totals admits at least its part of a quarter of the capacity', () => {
	load = {...fullFleet, isMeasured: false, ageMs: 0};
	expect(offerCalls(buildCall(6)).length).toBeGreaterThan(30);
	const calm = {...fullFleet.fleet, running: 26};
	load = {...load, fleet: calm};
	expect(offerCalls(buildCall(6), 3000)).toEqual([]);
});

test('the state is recorded each second of a shortage, and once it has ended', () => {
	for (let now = 0; now < 3000; now += 10) {
		shedding.findRefusal(buildCall(6), now);
	}

	expect(states).toHaveLength(3);
	expect(states[1]).toMatchObject({isShort: true, capacity: 100, ageMs: 300});
	expect(states[1]?.refused).toBeGreaterThan(50);
	load = unmeasuredLoad;
	for (let now = 3000; now < 5000; now += 10) {
		expect(shedding.findRefusal(buildCall(6), now + 100)).toBeUndefined();
	}

	expect(states).toHaveLength(5);
	expect(states.at(-1)).toMatchObject({isShort: false, shares: []});
});

// Guards against a shortage of which operators see neither the shares nor who was refused.
test('log lines show the shares, and counters the decisions by priority', async () => {
	const lines: Array<Record<string, unknown>> = [];
	const logger = {
		warn(event: string, pairs: object) {
			lines.push({event, ...pairs});
		},
	} as unknown as Logger;
	const registry = new Registry();
	shedding = new LoadShedding({
		readFleetLoad: () => load,
		readCapacity: () => ({slots, tokens: 1e9}),
		drawRandom: createRandom(1),
		...createSheddingRecorder(logger, registry),
	});
	const refused = offerCalls(buildCall(6)).length;
	expect(lines).toEqual([
		expect.objectContaining({
			event: 'service.short',
			service: 'models',
			shares: '1:1.00,6:0.25',
			capacity: 100,
			in_flight: 90,
		}),
	]);
	const metrics = await registry.metrics();
	expect(metrics).toContain(
		`bramleystage_gateway_shortage_requests_total{priority="6",result="refused"} ${refused}`,
	);
});

import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toServiceName} from '../../protocol/ids.js';
import {emptyServiceLoad, type ServiceLoad} from '../../state/fleet-load.js';
import {
	computeFleetLoad,
	type DemandSums,
	maxDemandAgeMs,
	SenderSums,
	type TimedTotal,
} from '../fleet-demand.js';

const service = toServiceName('models');

const buildLoad = (running: number, priority = 0): ServiceLoad => ({
	running,
	tokens: 100 * running,
	ends: running / 2,
	rates: [{priority, arrivals: running, admissions: running}],
});

const buildSums = (running: number): DemandSums =>
	new Map([[service, buildLoad(running)]]);

const buildTotal = (facts: Partial<TimedTotal>): TimedTotal => ({
	loads: buildSums(100),
	gateways: 10,
	stopped: 0,
	lost: 0,
	ageMs: 0,
	writtenAt: 5000,
	...facts,
});

const compute = (totals: readonly TimedTotal[], gateways = 10, now = 5000) =>
	computeFleetLoad(service, {own: buildLoad(4), totals, gateways}, now);

// Guards against load that counts twice when a gateway connects anew.
test('the last sums of each sender count once', () => {
	const senders = new SenderSums();
	senders.recordSums('a:1', buildSums(5), 0);
	senders.recordSums('b:1', buildSums(7), 100);
	senders.recordSums('a:1', buildSums(6), 300);
	const total = senders.computeTotal(buildSums(1), 400);
	expect(total.loads.get(service)).toEqual(buildLoad(14));
	expect(total).toMatchObject({gateways: 3, stopped: 0, lost: 0, ageMs: 300});
});

test('sums count up to their largest age, also after a connection ended without a word', () => {
	const senders = new SenderSums();
	senders.recordSums('a:1', buildSums(5), 0);
	senders.recordEnd('a:1', false, 200);
	senders.recordEnd('unknown:1', true, 200);
	const before = senders.computeTotal(buildSums(1), maxDemandAgeMs);
	expect(before).toMatchObject({gateways: 2, lost: 0});
	const after = senders.computeTotal(buildSums(1), maxDemandAgeMs + 1);
	expect(after).toMatchObject({gateways: 1, lost: 1, ageMs: 0});
	expect(after.loads.get(service)?.running).toBe(1);
	expect(senders.computeTotal(buildSums(1), 10_201).lost).toBe(0);
});

test('the sums of a gateway that stops leave with its connection, and come back with its next ping', () => {
	const senders = new SenderSums();
	senders.recordSums('a:1', buildSums(5), 0);
	senders.recordEnd('a:1', true, 200);
	expect(senders.computeTotal(buildSums(1), 200)).toMatchObject({
		gateways: 1,
		stopped: 1,
		lost: 0,
	});
	senders.recordSums('a:1', buildSums(9), 900);
	expect(senders.computeTotal(buildSums(1), 900)).toMatchObject({
		gateways: 2,
		stopped: 0,
	});
});

test('priorities that only some gateways have are kept apart, most urgent first', () => {
	const senders = new SenderSums();
	senders.recordSums('a:1', new Map([[service, buildLoad(5, 2)]]), 0);
	senders.recordSums('b:1', new Map([[service, buildLoad(7, 1)]]), 0);
	const total = senders.computeTotal(new Map([[service, buildLoad(1, 2)]]), 0);
	expect(total.loads.get(service)?.rates).toEqual([
		{priority: 1, arrivals: 7, admissions: 7},
		{priority: 2, arrivals: 6, admissions: 6},
	]);
});

// Guards against load of gateways that two totals count, if totals were added.
test('of several totals the one that accounts for most gateways is used alone, then the youngest', () => {
	const smaller = buildTotal({gateways: 8, loads: buildSums(90)});
	const older = buildTotal({ageMs: 400, loads: buildSums(80)});
	const best = buildTotal({ageMs: 300, loads: buildSums(110)});
	const load = compute([smaller, older, best], 10);
	expect(load.fleet.running).toBe(110);
	expect(load).toMatchObject({isMeasured: true, ageMs: 300});
	const stopped = buildTotal({gateways: 9, stopped: 1, ageMs: 1});
	expect(compute([best, stopped], 10).fleet.running).toBe(100);
});

test("totals that are too old don't count, and without any the own load is taken times the gateways", () => {
	const now = 5001 + maxDemandAgeMs;
	const load = compute([buildTotal({})], 10, now);
	expect(load.fleet).toEqual({
		running: 40,
		tokens: 4000,
		ends: 20,
		rates: [{priority: 0, arrivals: 40, admissions: 40}],
	});
	expect(load.isMeasured).toBe(false);
	expect(compute([buildTotal({})], 10, now - 1).isMeasured).toBe(true);
	expect(compute([], 1)).toMatchObject({isMeasured: true, ageMs: 0});
});

// Guards against a third too much assumed load of three gateways after one has died.
test('gateways that have ended are not assumed to carry load', () => {
	const total = {gateways: 2, loads: buildSums(20)};
	expect(compute([buildTotal(total)], 3).fleet.running).toBe(30);
	for (const gone of [{lost: 1}, {stopped: 1}]) {
		const load = compute([buildTotal({...total, ...gone})], 3);
		expect(load.fleet.running).toBe(20);
		expect(load.isMeasured).toBe(true);
	}
});

test('the load of all is never less than the own, and grows with the gateways that are not counted', () => {
	fc.assert(
		fc.property(
			fc.nat(1000),
			fc.nat(1000),
			fc.integer({min: 1, max: 400}),
			fc.record({
				counted: fc.integer({min: 1, max: 400}),
				stopped: fc.nat(400),
				lost: fc.nat(400),
			}),
			(own, counted, gateways, facts) => {
				const load = computeFleetLoad(
					service,
					{
						own: buildLoad(own),
						totals: [
							buildTotal({
								...facts,
								gateways: facts.counted,
								loads: buildSums(counted),
							}),
						],
						gateways,
					},
					5000,
				);
				expect(load.fleet.running).toBeGreaterThanOrEqual(own);
				expect(load.fleet.running).toBeGreaterThanOrEqual(counted);
				expect(load.fleet.running).toBeLessThanOrEqual(
					Math.max(own, counted * Math.max(1, gateways / facts.counted)) + 1e-6,
				);
			},
		),
	);
});

test('a service that no gateway has load of is empty', () => {
	const load = computeFleetLoad(
		toServiceName('other'),
		{own: emptyServiceLoad, totals: [buildTotal({})], gateways: 10},
		5000,
	);
	expect(load.fleet).toEqual(emptyServiceLoad);
});

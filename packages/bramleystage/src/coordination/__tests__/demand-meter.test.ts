import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toServiceName} from '../../protocol/ids.js';
import {DemandMeter} from '../demand-meter.js';

const service = toServiceName('models');

/** Records calls that begin at once, at a constant rate, and run for a time. */
function runCalls(
	meter: DemandMeter,
	{
		rate,
		runMs,
		fromMs,
		toMs,
	}: Record<'rate' | 'runMs' | 'fromMs' | 'toMs', number>,
): void {
	const ends: Array<{at: number; end: (now: number) => void}> = [];
	for (let now = fromMs; now < toMs; now += 1000 / rate) {
		for (const {at, end} of ends.splice(
			0,
			ends.filter(({at}) => at <= now).length,
		)) {
			end(at);
		}

		meter.recordArrival(service, 1, now);
		const end = meter.recordAdmission(service, {priority: 1, tokens: 500}, now);
		ends.push({at: now + runMs, end});
	}
}

test.each([2, 20, 200])('a rate of %i a second is measured', (rate) => {
	const meter = new DemandMeter();
	runCalls(meter, {rate, runMs: 2000, fromMs: 0, toMs: 10_000});
	const load = meter.describe(service, 10_000);
	expect(Math.abs(load.running - 2 * rate)).toBeLessThanOrEqual(1);
	expect(load.tokens).toBe(500 * load.running);
	const [rates] = load.rates;
	expect(rates?.priority).toBe(1);
	// Events at even distances are seen as up to a third less or more at two a second.
	const tolerance = rate === 2 ? 0.35 : 0.05;
	for (const value of [rates?.arrivals, rates?.admissions, load.ends]) {
		expect(value).toBeGreaterThan(rate * (1 - tolerance));
		expect(value).toBeLessThan(rate * (1 + tolerance));
	}
});

// Guards against a flood of five seconds that is over before its rate is known.
test('a rate that changes is known to two thirds after a second and to nine tenths after 2.5 s', () => {
	const meter = new DemandMeter();
	runCalls(meter, {rate: 100, runMs: 100, fromMs: 0, toMs: 1000});
	expect(meter.describe(service, 1000).rates[0]?.arrivals).toBeGreaterThan(60);
	runCalls(meter, {rate: 100, runMs: 100, fromMs: 1000, toMs: 2500});
	expect(meter.describe(service, 2500).rates[0]?.arrivals).toBeGreaterThan(90);
	expect(meter.describe(service, 3500).rates[0]?.arrivals).toBeLessThan(40);
	expect(meter.describe(service, 15_000).rates).toEqual([]);
});

// Guards against a service without requests whose sums are sent for ever.
test('a service without load is left out', () => {
	const meter = new DemandMeter();
	const end = meter.recordAdmission(service, {priority: 0, tokens: 0.1}, 0);
	expect([...meter.describeAll(60_000).keys()]).toEqual([service]);
	end(60_000);
	expect(meter.describe(service, 60_000)).toMatchObject({
		running: 0,
		tokens: 0,
	});
	expect([...meter.describeAll(60_000).keys()]).toEqual([service]);
	expect(meter.describeAll(70_000).size).toBe(0);
	expect(meter.describe(toServiceName('other'), 0).running).toBe(0);
});

// Guards against sums that drift, and so against gateways that count work that has ended for ever.
test('whatever the order of ends, also repeated ones, running calls and tokens are those that have not ended', () => {
	fc.assert(
		fc.property(
			fc.array(
				fc.record({
					priority: fc.integer({min: 0, max: 9}),
					tokens: fc.integer({min: 0, max: 100_000}),
					ends: fc.integer({min: 0, max: 2}),
				}),
				{maxLength: 50},
			),
			(calls) => {
				const meter = new DemandMeter();
				const begun = calls.map((call) => ({
					...call,
					end: meter.recordAdmission(service, call, 0),
				}));
				for (const {ends, end} of begun.toReversed()) {
					for (let count = 0; count < ends; count++) {
						end(10);
					}
				}

				const left = calls.filter(({ends}) => ends === 0);
				let tokens = 0;
				for (const call of left) {
					tokens += call.tokens;
				}

				const load = meter.describe(service, 20);
				expect(load.running).toBe(left.length);
				expect(load.tokens).toBe(tokens);
				const priorities = load.rates.map(({priority}) => priority);
				expect(priorities).toEqual(
					[...new Set(calls.map(({priority}) => priority))].toSorted(
						(a, b) => a - b,
					),
				);
			},
		),
	);
});

test("times that go back by a little don't raise a rate", () => {
	const meter = new DemandMeter();
	meter.recordArrival(service, 0, 1000);
	meter.recordArrival(service, 0, 900);
	expect(meter.describe(service, 1000).rates[0]?.arrivals).toBeLessThanOrEqual(
		2,
	);
});

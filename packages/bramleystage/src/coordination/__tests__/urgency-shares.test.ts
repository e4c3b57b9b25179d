import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {createRandom} from '../../protocol/random.js';
import {
	computeUrgencyShares,
	CustomerShares,
	findPlaceRate,
	findUrgencyShare,
} from '../urgency-shares.js';

const rates = fc
	.uniqueArray(fc.nat({max: 9}), {minLength: 1, maxLength: 10})
	.chain((priorities) =>
		fc.tuple(
			...priorities.map((priority) =>
				fc.record({
					priority: fc.constant(priority),
					arrivals: fc.double({min: 0.01, max: 5000, noNaN: true}),
				}),
			),
		),
	);

// Guards against a priority inversion: in a flood, urgent requests were refused more often than the flood.
test('no priority is served at a lower share than a less urgent one, and none starves', () => {
	fc.assert(
		fc.property(
			rates,
			fc.double({min: 0.01, max: 1.2, noNaN: true}),
			(list, part) => {
				const total = list.reduce((sum, {arrivals}) => sum + arrivals, 0);
				const rate = total * part;
				const shares = computeUrgencyShares(list, rate);
				let admitted = 0;
				let previous = 1;
				for (const {priority, share} of shares) {
					const {arrivals = 0} =
						list.find((entry) => entry.priority === priority) ?? {};
					admitted += arrivals * share;
					expect(share).toBeLessThanOrEqual(previous + 1e-9);
					expect(share).toBeGreaterThanOrEqual(Math.min(1, part) * 0.2 - 1e-9);
					expect(share).toBeLessThanOrEqual(1 + 1e-9);
					previous = share;
				}

				expect(admitted / Math.min(rate, total)).toBeCloseTo(1, 6);
			},
		),
	);
});

test('requests of a single priority all get the common share', () => {
	expect(computeUrgencyShares([{priority: 4, arrivals: 200}], 100)).toEqual([
		{priority: 4, share: 0.5},
	]);
});

// Guards against a new priority that is refused although less urgent ones are admitted.
test('a priority without known arrivals is served no worse than less urgent ones', () => {
	const shares = [
		{priority: 1, share: 0.9},
		{priority: 5, share: 0.2},
	];
	expect(
		[0, 1, 3, 5, 9].map((priority) => findUrgencyShare(shares, priority)),
	).toEqual([0.9, 0.9, 0.2, 0.2, 0.2]);
	expect(findUrgencyShare([], 3)).toBe(1);
});

// Guards against customers whose requests are refused in a row by chance.
test('each customer gets its share of any run of requests, to within one', () => {
	fc.assert(
		fc.property(
			fc.double({min: 0, max: 1, noNaN: true}),
			fc.integer(),
			fc.array(fc.nat({max: 4}), {maxLength: 400}),
			(share, seed, requests) => {
				const customers = new CustomerShares(createRandom(seed));
				const counts = new Map<number, {asked: number; admitted: number}>();
				for (const customer of requests) {
					const {asked, admitted} = counts.get(customer) ?? {
						asked: 0,
						admitted: 0,
					};
					const isAdmitted = customers.tryTake(String(customer), {
						priority: 2,
						share,
					});
					counts.set(customer, {
						asked: asked + 1,
						admitted: admitted + (isAdmitted ? 1 : 0),
					});
				}

				for (const {asked, admitted} of counts.values()) {
					expect(Math.abs(admitted - asked * share)).toBeLessThanOrEqual(1.001);
				}
			},
		),
	);
});

// Guards against 400 gateways that each refuse the first request of every customer.
test('customers with one request at each of many gateways get their share too', () => {
	const drawRandom = createRandom(5);
	const admitted = Array.from({length: 4000}, () =>
		new CustomerShares(drawRandom).tryTake('a', {priority: 0, share: 0.6}),
	).filter(Boolean).length;
	expect(admitted / 4000).toBeCloseTo(0.6, 1);
});

// Guards against promises to return that exceed what is free after a shortage, and to the least urgent first.
test('refused requests get a quarter of the admission rate for their return, urgent ones first', () => {
	const shares = [
		{priority: 0, share: 1},
		{priority: 1, share: 0.5},
		{priority: 2, share: 0.1},
	];
	const own = [0, 1, 2].map((priority) => ({
		priority,
		arrivals: 40,
		admissions: 0,
	}));
	const placeRates = [0, 1, 2].map((priority) =>
		findPlaceRate(own, shares, priority),
	);
	// 64 are admitted a second, so 16 of the 56 refused have a place.
	expect(placeRates[0]).toBe(0);
	expect((placeRates[1] ?? 0) + (placeRates[2] ?? 0)).toBeCloseTo(16);
	expect(placeRates[1]).toBeCloseTo(13.94, 1);
	expect(findPlaceRate(own, shares, 7)).toBe(0);
});

import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {stepMs} from './load-meter.js';
import {
	type Demand,
	type Request,
	SharedEngines,
	type SharedEnginesOptions,
} from './shared-engines.js';

/** Longest wait for a slot with which a stream's first event is in time, in milliseconds. */
const targetWaitMs = 400;
const warmUpMs = 8000;
const shortageMs = 10_000;
/** Demand by priority, as shares of the throughput. */
const usual = [0.2, 0.2, 0.25];
/** A flood of the least urgent priority: 2.1 times the throughput in all. */
const flood = [0.2, 0.2, 1.7];
/** Twice the throughput, over all priorities. */
const double = [0.7, 0.6, 0.7];
/** The same with a single priority. */
const single = [2];

const sizes = [3, 27, 68, 400].flatMap((gateways) =>
	[false, true].map((isUneven) => ({gateways, isUneven})),
);

const scaleDemand = (
	{throughput}: SharedEngines,
	shares: readonly number[],
): Demand[] =>
	shares.map((share, priority) => ({priority, perSecond: share * throughput}));

/** Runs a shortage between two times of usual demand. */
function runShortage(
	options: SharedEnginesOptions,
	shares: readonly number[],
	afterMs = 0,
): SharedEngines {
	const engines = new SharedEngines(options);
	const calm = shares.length > 1 ? usual : [0.65];
	engines.run(warmUpMs, scaleDemand(engines, calm));
	engines.run(shortageMs, scaleDemand(engines, shares));
	engines.run(afterMs, scaleDemand(engines, calm));
	return engines;
}

const isInTime = ({admittedAt, begunAt}: Request) =>
	admittedAt !== undefined &&
	begunAt !== undefined &&
	begunAt - admittedAt <= targetWaitMs;

/** Computes which share of the shortage's new requests of each priority was admitted and began in time. */
const computeServedShares = ({requests}: SharedEngines): number[] =>
	[0, 1, 2].map((priority) => {
		const all = requests.filter(
			(request) =>
				request.priority === priority &&
				request.bornAt > warmUpMs &&
				request.bornAt <= warmUpMs + shortageMs,
		);
		return all.filter((request) => isInTime(request)).length / all.length;
	});

// Load pattern: each gateway sees only its part of a flood, so all of it reached the engines and urgent calls waited behind it.
test.each(sizes)(
	'a flood of the least urgent priority leaves urgent calls in time: %o',
	({gateways, isUneven}) => {
		for (const ageMs of [200, 600]) {
			const options = {gateways, isUneven, ageMs, seed: gateways + ageMs};
			const shares = computeServedShares(runShortage(options, flood));
			const [first = 0, second = 0, third = 0] = shares;
			expect(first).toBeGreaterThan(0.94);
			expect(second).toBeGreaterThan(0.85);
			expect(third).toBeGreaterThan(0.2);
		}
	},
);

// Guards against a rule that serves fewer calls in time than admitting all, which is what it replaces.
test.each(sizes)(
	'no priority fares worse than if nothing were shed, and urgent ones fare best: %o',
	({gateways, isUneven}) => {
		for (const shares of [flood, double]) {
			const options = {gateways, isUneven, ageMs: 1000, seed: gateways};
			const served = computeServedShares(runShortage(options, shares));
			const before = computeServedShares(
				runShortage({...options, admitsAll: true}, shares),
			);
			for (const [priority, share] of served.entries()) {
				expect(share).toBeGreaterThanOrEqual(before[priority] ?? 0);
			}

			expect(served[0]).toBeGreaterThan(0.7);
			expect(served[2]).toBeGreaterThan(0.1);
			expect(served[1]).toBeGreaterThan((served[2] ?? 0) - 0.05);
		}
	},
);

// Guards against large customers that crowd out small ones within a priority, or the reverse.
test('customers of uneven size keep their shares in a shortage of twice the capacity', () => {
	const options = {gateways: 68, isUneven: true, ageMs: 500, seed: 3};
	const {requests} = runShortage(options, double);
	const settled = requests.filter(({bornAt}) => bornAt > warmUpMs + 2000);
	for (const priority of [0, 1, 2]) {
		const own = settled.filter((request) => request.priority === priority);
		const computeShare = (list: readonly Request[]) =>
			list.filter(
				({attempts, admittedAt}) => attempts === 1 && admittedAt !== undefined,
			).length / list.length;
		const common = computeShare(own);
		for (let customer = 0; customer < 24; customer++) {
			const list = own.filter((request) => request.customer === customer);
			expect(list.length).toBeGreaterThan(15);
			// Four standard deviations if each request were drawn on its own.
			const tolerance = 4 * Math.sqrt((common * (1 - common)) / list.length);
			expect(Math.abs(computeShare(list) - common)).toBeLessThan(
				tolerance + 0.02,
			);
		}
	}
});

// Load pattern: for 24 s after a flood of 5 s, streams began late, as refused callers came back and the backlog drained.
test.each(sizes)(
	'streams begin in time from 5 s after a shortage, and refused callers come back spread out: %o',
	({gateways, isUneven}) => {
		for (const shares of [flood, double, single]) {
			const options = {gateways, isUneven, ageMs: 500, seed: gateways};
			const engines = runShortage(options, shares, 12_000);
			const endAt = warmUpMs + shortageMs;
			const after = engines.requests.filter(
				({admittedAt, begunAt}) =>
					admittedAt !== undefined &&
					begunAt !== undefined &&
					admittedAt > endAt + 5000,
			);
			const late = after.filter((request) => !isInTime(request));
			expect(late.length / after.length).toBeLessThan(0.01);
			// New callers aren't displaced by those that come back.
			const fresh = engines.requests.filter(
				({bornAt}) => bornAt > endAt + 5000,
			);
			const prompt = fresh.filter(
				({attempts, admittedAt}) => attempts === 1 && admittedAt !== undefined,
			);
			expect(prompt.length / fresh.length).toBeGreaterThan(0.9);
			// In no 200 ms do more callers come back than are served in 800 ms.
			const steps = engines.steps.filter(({at}) => at > endAt);
			const perWindow = 200 / stepMs;
			for (let index = 0; index + perWindow <= steps.length; index++) {
				const returned = steps
					.slice(index, index + perWindow)
					.reduce((sum, step) => sum + step.returned, 0);
				expect(returned).toBeLessThan(engines.throughput * 0.8 + 10);
			}
		}
	},
);

const demand = fc.array(fc.double({min: 0.05, max: 1.2, noNaN: true}), {
	minLength: 3,
	maxLength: 3,
});

// Guards against too many admissions by totals that are out of date, and against refusals while slots are free.
test('what is in flight exceeds the capacity by no more than the age explains, and refusals come with a full fleet', () => {
	fc.assert(
		fc.property(
			fc.record({
				gateways: fc.constantFrom(3, 9, 27),
				isUneven: fc.boolean(),
				ageMs: fc.integer({min: 200, max: 1000}),
				seed: fc.integer(),
			}),
			demand,
			(options, shares) => {
				const engines = runShortage(options, shares, 5000);
				const {slots, throughput, steps} = engines;
				const total = shares.reduce((sum, share) => sum + share, 0);
				// Rates are smoothed over a second, which adds to the age.
				const unseenMs = options.ageMs + 1000;
				const excess = Math.max(0, total - 1) * throughput * (unseenMs / 1000);
				const unseenSteps = Math.ceil(unseenMs / stepMs);
				const noise = 4 * Math.sqrt(slots);
				const full = steps.filter(({running}) => running >= 0.7 * slots);
				for (const [index, {at, running, refused}] of steps.entries()) {
					const returned = steps
						.slice(Math.max(0, index - unseenSteps), index + 1)
						.reduce((sum, step) => sum + step.returned, 0);
					expect(running).toBeLessThanOrEqual(
						slots + excess + returned + noise,
					);
					if (refused > 0) {
						expect(
							full.some(
								(step) => step.at <= at && step.at >= at - options.ageMs - 200,
							),
						).toBe(true);
					}
				}
			},
		),
		{numRuns: 60},
	);
});

// Guards against slots that stay free in a lasting shortage while callers are refused.
test.each([200, 500, 1000])(
	'the slots are in use throughout a shortage, with totals %i ms old',
	(ageMs) => {
		for (const shares of [flood, double]) {
			const options = {gateways: 27, isUneven: true, ageMs, seed: ageMs};
			const {steps, slots} = runShortage(options, shares);
			const settled = steps.filter(({at}) => at > warmUpMs + 2000);
			const mean =
				settled.reduce((sum, {running}) => sum + running, 0) / settled.length;
			expect(mean / slots).toBeGreaterThan(0.85);
			expect(mean / slots).toBeLessThan(1.02);
			expect(
				Math.min(...settled.map(({running}) => running)) / slots,
			).toBeGreaterThan(0.7);
		}
	},
);

test.each(sizes)('nothing is refused at usual demand: %o', (size) => {
	const engines = new SharedEngines({...size, ageMs: 1000, seed: 1});
	engines.run(20_000, scaleDemand(engines, usual));
	expect(engines.steps.every(({refused}) => refused === 0)).toBe(true);
	expect(engines.states).toEqual([]);
});

// Guards against a state that flaps, and against log lines in more than each second.
test('a shortage is one shortage, with a line a second and gateway', () => {
	const options = {gateways: 3, isUneven: false, ageMs: 500, seed: 4};
	const {states} = runShortage(options, flood);
	expect(states.length).toBeLessThanOrEqual(3 * 10);
	expect(states.length).toBeGreaterThan(3 * 8);
	expect(states.every(({isShort}) => isShort)).toBe(true);
});

// Guards against waste of what a started answer has cost, and of the part that the caller holds.
test('resumptions are admitted in any shortage', () => {
	const engines = new SharedEngines({
		gateways: 3,
		isUneven: false,
		ageMs: 200,
		seed: 6,
	});
	engines.run(15_000, scaleDemand(engines, flood), '7');
	expect(engines.steps.every(({refused}) => refused === 0)).toBe(true);
});

// Failure: a part of the gateways, or each one, gets no totals from the others.
test.each(
	sizes.flatMap((size) =>
		[0.3, 1].map((partitionedPart) => ({...size, partitionedPart})),
	),
)(
	'gateways without fresh totals keep to their part of the capacity: %o',
	(options) => {
		const {gateways, partitionedPart} = options;
		const engines = runShortage({...options, ageMs: 500, seed: 2}, double);
		const {slots, steps, throughput} = engines;
		const settled = steps.filter(({at}) => at > warmUpMs + 4000);
		const mean =
			settled.reduce((sum, {running}) => sum + running, 0) / settled.length;
		// The other gateways don't see what these carry, and may fill the capacity without them.
		const unseenPart = partitionedPart < 1 ? partitionedPart : 0;
		expect(mean / slots).toBeLessThan(1.1 + unseenPart);
		expect(mean / slots).toBeGreaterThan(0.6);
		const admitted = engines.requests.filter(
			({gateway, admittedAt = 0}) =>
				engines.isPartitioned(gateway) && admittedAt > warmUpMs + 2000,
		).length;
		const perSecond = admitted / ((shortageMs - 2000) / 1000);
		const part =
			Array.from({length: gateways}, (_, gateway) => gateway).filter(
				(gateway) => engines.isPartitioned(gateway),
			).length / gateways;
		expect(perSecond).toBeGreaterThan(part * 0.25 * throughput);
	},
);

/** What gateways take for the load of all of them, under even and uneven demand and failures. */
import {toServiceName} from 'bramleystage';
import {expect, test} from 'vitest';
import {DemandFleet} from './demand-fleet.js';

const sizes = [3, 27, 68, 400];
const meanRate = 5;

/** Every seventh gateway carries ten times as many callers as each other one. */
const readUnevenRate = (index: number) =>
	index % 7 === 0 ? 10 * meanRate : meanRate;

const createFleet = (
	options: Partial<ConstructorParameters<typeof DemandFleet>[0]>,
) =>
	new DemandFleet({
		size: 27,
		readArrivalRate: () => meanRate,
		transitMs: 10,
		seed: 7,
		...options,
	});

// Guards against estimates that are off severalfold, as a gateway's own load says little of the fleet's.
test.each(
	sizes.flatMap((size) =>
		[false, true].flatMap((isUneven) =>
			[10, 200, 500].map((transitMs) => ({size, isUneven, transitMs})),
		),
	),
)(
	'$size gateways know the load of all (uneven: $isUneven, $transitMs ms to each other)',
	({size, isUneven, transitMs}) => {
		const fleet = createFleet({
			size,
			transitMs,
			readArrivalRate: isUneven ? readUnevenRate : () => meanRate,
		});
		fleet.advance(10_000);
		const errors: number[] = [];
		const replaced: number[] = [];
		for (let sample = 0; sample < 5; sample++) {
			fleet.advance(400);
			const measured = fleet.measureErrors();
			errors.push(measured.measured);
			replaced.push(measured.replaced);
			expect(
				fleet.gateways.every((gateway) => fleet.read(gateway).isMeasured),
			).toBe(true);
		}

		const mean = (values: readonly number[]) =>
			values.reduce((sum, value) => sum + value) / values.length;
		// Few gateways have few calls, of which many begin and end in a second.
		expect(mean(errors)).toBeLessThan(size === 3 ? 0.2 : 0.07);
		expect(mean(errors)).toBeLessThan(mean(replaced));
	},
	30_000,
);

// Guards against a flood that is noticed late, while the gateways admit as before.
test.each(sizes)(
	'a doubled demand is known to %i gateways within two seconds',
	(size) => {
		const fleet = createFleet({size, readArrivalRate: readUnevenRate});
		fleet.advance(8000);
		fleet.demandFactor = 2;
		fleet.advance(2000);
		let rate = 0;
		for (const {arrivalRate} of fleet.gateways) {
			rate += 2 * arrivalRate;
		}

		for (const gateway of fleet.gateways) {
			let known = 0;
			for (const {arrivals} of fleet.read(gateway).fleet.rates) {
				known += arrivals;
			}

			// The rate of the last 1.5 s or so is known to about a tenth.
			expect(known / rate).toBeGreaterThan(0.65);
			expect(known / rate).toBeLessThan(1.25);
		}
	},
	30_000,
);

// Guards against gateways that take their own side of a partition for the whole fleet and admit too much.
test.each(
	sizes.flatMap((size) => [false, true].map((isUneven) => ({size, isUneven}))),
)(
	'of $size gateways both sides of a partition assume the rest to be like their own side (uneven: $isUneven)',
	({size, isUneven}) => {
		const border = Math.max(1, Math.floor(size * 0.3));
		const fleet = createFleet({
			size,
			readArrivalRate: isUneven ? readUnevenRate : () => meanRate,
			isConnected: (a, b) => a < border === b < border,
		});
		fleet.advance(10_000);
		const {measured, replaced} = fleet.measureErrors();
		expect(measured).toBeLessThanOrEqual(replaced);
		for (const gateway of fleet.gateways) {
			expect(fleet.read(gateway).isMeasured).toBe(gateway.index >= border);
		}
	},
	30_000,
);

// Guards against a lone gateway that takes itself for the fleet, or trusts totals from before.
test('a gateway that loses all others falls back to its own load times their number after 1.5 s', () => {
	let isCut = false;
	const fleet = createFleet({
		isConnected: (a, b) => !isCut || (a > 0 && b > 0),
	});
	fleet.advance(8000);
	const [first] = fleet.gateways;
	expect(first && fleet.read(first).isMeasured).toBe(true);
	isCut = true;
	fleet.advance(1700);
	const load = first && fleet.read(first);
	expect(load?.isMeasured).toBe(false);
	expect(load?.fleet.running).toBe(27 * (load?.own.running ?? 0));
	const others = fleet.gateways.slice(1).map((gateway) => fleet.read(gateway));
	expect(others.every(({isMeasured}) => isMeasured)).toBe(true);
});

// Guards against the load of a dead gateway that counts on, or is taken over by a guess.
test('the load of a gateway that dies counts for 1.5 s', () => {
	const fleet = createFleet({size: 3, readArrivalRate: () => 50});
	fleet.advance(8000);
	const [first, , last] = fleet.gateways;
	const before = fleet.countRunning();
	if (last) {
		fleet.end(last, false);
	}

	fleet.advance(100);
	expect(first && fleet.read(first).fleet.running).toBeGreaterThan(
		0.85 * before,
	);
	fleet.advance(1800);
	const {measured} = fleet.measureErrors();
	expect(measured).toBeLessThan(0.1);
	expect(first && fleet.read(first).isMeasured).toBe(true);
});

// Guards against load that is held against the others although its gateway has said that it stops.
test('the load of a gateway that stops leaves with its connection', () => {
	const fleet = createFleet({size: 3, readArrivalRate: () => 50});
	fleet.advance(8000);
	const [first, , last] = fleet.gateways;
	if (last) {
		fleet.end(last, true);
	}

	expect(first && fleet.read(first).fleet.running).toBeLessThan(
		1.15 * fleet.countRunning(),
	);
});

// Guards against sums that count twice when gateways disagree on whom to follow.
test('a gateway that only some others hear counts once at most', () => {
	const fleet = createFleet({
		size: 27,
		readArrivalRate: readUnevenRate,
		listFollowed: (index) =>
			index % 3 === 0 ? [2, 3].filter((peer) => peer !== index) : undefined,
	});
	fleet.advance(10_000);
	const actual = fleet.countRunning();
	for (const gateway of fleet.gateways) {
		const {fleet: load} = fleet.read(gateway);
		expect(load.running).toBeLessThan(1.35 * actual);
		expect(load.running).toBeGreaterThan(0.65 * actual);
	}

	const {measured, replaced} = fleet.measureErrors();
	expect(measured).toBeLessThan(replaced / 2);
});

// Guards against a gateway that was paused and takes itself for the only one, as all others have turned away from it.
test('a gateway that all others leave without a word does not take them for dead', () => {
	let isLeft = false;
	const fleet = createFleet({
		size: 5,
		readArrivalRate: () => 50,
		isConnected: (a, b) => !isLeft || (a > 0 && b > 0),
	});
	fleet.advance(8000);
	const [first, ...others] = fleet.gateways;
	isLeft = true;
	for (const {index} of others) {
		first?.watch.recordSenderEnd(String(index), false, fleet.now);
	}

	fleet.advance(2000);
	const load = first && fleet.read(first);
	expect(load?.isMeasured).toBe(false);
	expect(load?.fleet.running).toBe(5 * (load?.own.running ?? 0));
});

test('a gateway that starts takes its own load times the number of gateways', () => {
	const fleet = createFleet({size: 400});
	const [first] = fleet.gateways;
	const load = first && fleet.read(first);
	expect(load?.isMeasured).toBe(false);
	expect(load?.fleet.running).toBe(0);
	expect(
		first?.watch.readFleetLoad(toServiceName('other'), fleet.now).fleet.rates,
	).toEqual([]);
});

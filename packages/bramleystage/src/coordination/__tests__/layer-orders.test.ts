import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {EnginePlacement} from '../engine-placement.js';
import {planLayerOrders} from '../layer-orders.js';
import {computeMaxLayers, computeTokenCapacity} from '../layer-plan.js';
import {
	applyOrders,
	countHolders,
	createEngines,
	createFleet,
	model,
} from './layer-fixtures.js';

/** Most rounds of orders before the fleet must have settled. */
const maxRounds = 60;

/** Plans and applies orders until there are none. */
function settleOrders(engines: readonly EnginePlacement[]): EnginePlacement[] {
	let current = [...engines];
	for (let round = 0; round < maxRounds; round++) {
		const orders = planLayerOrders(model, current);
		if (orders.length === 0) {
			return current;
		}

		for (const {id, layers} of orders) {
			const engine = current.find((item) => item.id === id);
			const layerCount = layers.to - layers.from;
			expect(layerCount).toBeGreaterThan(0);
			expect(layerCount).toBeLessThanOrEqual(
				computeMaxLayers(model, engine?.kind ?? ''),
			);
		}

		current = applyOrders(current, orders);
	}

	throw new Error('The orders did not settle.');
}

test('the first placement holds every layer once in each data centre', () => {
	const placed = settleOrders(createFleet());
	for (const dataCentre of ['a', 'b', 'c']) {
		expect(Math.min(...countHolders(placed, dataCentre))).toBe(1);
	}
});

test('the first placement keeps token capacity and idle engines', () => {
	const placed = settleOrders(createFleet());
	for (const {kind, layers} of placed) {
		if (layers) {
			const capacity = computeTokenCapacity(
				model,
				kind,
				layers.to - layers.from,
			);
			expect(capacity).toBeGreaterThan(60_000);
		}
	}

	expect(
		placed.filter(({layers}) => layers === undefined).length,
	).toBeGreaterThan(3);
});

test('a data centre with two replicas of each layer gets no further orders', () => {
	const engines = createEngines('a', {large: 1, middle: 13, small: 14});
	const placed = applyOrders(engines, planLayerOrders(model, engines));
	expect(Math.min(...countHolders(placed, 'a'))).toBe(2);
	expect(planLayerOrders(model, placed)).toEqual([]);
});

test('no engine releases a layer that would have too few replicas left', () => {
	const engines = createEngines('a', {large: 1, middle: 13, small: 14});
	const placed = settleOrders(engines);
	const idle = new Set(placed.filter(({layers}) => layers === undefined));
	// Without idle engines, some engines are below the target token capacity.
	const withoutIdle = placed.filter((engine) => !idle.has(engine));
	expect(Math.min(...countHolders(settleOrders(withoutIdle), 'a'))).toBe(2);
});

test('a settled fleet gets no orders', () => {
	expect(planLayerOrders(model, settleOrders(createFleet()))).toEqual([]);
});

test('an idle engine replaces one that could not be reached', () => {
	const placed = settleOrders(createFleet());
	const lost = placed.find(({layers}) => layers?.from === 0);
	const orders = planLayerOrders(
		model,
		placed.map((engine) =>
			engine === lost ? {...engine, isSuspect: true} : engine,
		),
	);
	expect(orders.length).toBeGreaterThan(0);
	expect(orders.every(({reason}) => reason === 'gap')).toBe(true);
	const idle = placed.filter(({layers}) => layers === undefined);
	for (const {id} of orders) {
		expect(idle.map((engine) => engine.id)).toContain(id);
	}
});

test('neighbours cover the layers of a lost engine if no engine is idle', () => {
	const engines = createEngines('a', {large: 1, middle: 8});
	const placed = settleOrders(engines);
	const lost = placed.find(({layers}) => (layers?.from ?? 0) > 20);
	const settled = settleOrders(
		placed.map((engine) =>
			engine === lost ? {...engine, isUsable: false} : engine,
		),
	);
	expect(Math.min(...countHolders(settled, 'a'))).toBeGreaterThanOrEqual(1);
});

test('an engine with a pending order gets no other one', () => {
	const placed = settleOrders(createFleet());
	const busy = placed.map((engine, index) =>
		index === 0 ? {...engine, pendingLayers: {from: 0, to: 4}} : engine,
	);
	const orders = planLayerOrders(model, busy);
	expect(orders.map(({id}) => id)).not.toContain(placed[0]?.id);
});

test('after any loss of engines, orders fit into memory and end with every layer held', () => {
	const placed = settleOrders(createFleet());
	fc.assert(
		fc.property(
			fc.uniqueArray(fc.nat({max: placed.length - 1}), {maxLength: 6}),
			(lost) => {
				const settled = settleOrders(
					placed.map((engine, index) =>
						lost.includes(index) ? {...engine, isUsable: false} : engine,
					),
				);
				const held = ['a', 'b', 'c'].map((dataCentre) =>
					countHolders(settled, dataCentre),
				);
				for (let layer = 0; layer < model.layers; layer++) {
					const holders = held.reduce(
						(sum, counts) => sum + (counts[layer] ?? 0),
						0,
					);
					expect(holders).toBeGreaterThan(0);
				}
			},
		),
		{numRuns: 60, seed: 11},
	);
});

test('data centres that are too small alone form one area', () => {
	const placed = settleOrders([
		...createEngines('a', {middle: 6}),
		...createEngines('b', {middle: 6}),
	]);
	const counts = countHolders(placed, 'a').map(
		(count, layer) => count + (countHolders(placed, 'b')[layer] ?? 0),
	);
	expect(Math.min(...counts)).toBe(1);
});

// Guards against requests that can begin only at an engine which takes few of them.
test('another engine gets the first layer of one that names a limit, and a limited one none', () => {
	const placed = settleOrders(createFleet());
	const limited = placed.map((engine) => ({
		...engine,
		isLimited: engine.layers?.from === 0 && engine.dataCentre === 'a',
	}));
	const settled = settleOrders(limited);
	const holdsFirst = settled.filter(
		({dataCentre, layers, isLimited}) =>
			dataCentre === 'a' && layers?.from === 0 && !isLimited,
	);
	expect(holdsFirst.length).toBeGreaterThanOrEqual(1);
	expect(Math.min(...countHolders(settled, 'a'))).toBeGreaterThanOrEqual(1);
	for (const engine of limited.filter(({isLimited}) => isLimited)) {
		const after = settled.find(({id}) => id === engine.id);
		expect(after?.layers).toEqual(engine.layers);
	}
});

import {expect, test} from 'vitest';
import {planCacheStages} from '../cache-stages.js';
import type {EnginePlacement} from '../engine-placement.js';
import {
	computeLayersWithCapacity,
	computeTokenCapacity,
} from '../layer-plan.js';
import {planLayerOrders} from '../layer-orders.js';
import {applyOrders, createEngines, model} from './layer-fixtures.js';

/** Fast engines hold all layers, slow ones are idle. */
const createPlaced = () => {
	const engines = [
		...createEngines('a', {large: 6, middle: 26}),
		...createEngines('b', {large: 6, middle: 26}),
	];
	return applyOrders(engines, planLayerOrders(model, engines));
};

const countIdle = (engines: readonly EnginePlacement[]) =>
	engines.filter(({layers}) => layers === undefined).length;

/** Computes the tokens that fit in the layer of a data centre with the least room. */
function computeLeastCapacity(
	engines: readonly EnginePlacement[],
	dataCentre: string,
): number {
	const capacities = Array.from({length: model.layers}, () => 0);
	for (const {kind, layers, dataCentre: place} of engines) {
		if (!layers || place !== dataCentre) {
			continue;
		}

		const tokens = computeTokenCapacity(model, kind, layers.to - layers.from);
		for (let layer = layers.from; layer < layers.to; layer++) {
			capacities[layer] = (capacities[layer] ?? 0) + tokens;
		}
	}

	return Math.min(...capacities);
}

/** Applies orders until a demand of tokens calls for none. */
function settle(
	engines: readonly EnginePlacement[],
	tokens: number,
	reserve = 2,
): EnginePlacement[] {
	let current = [...engines];
	for (let round = 0; round < 60; round++) {
		const demand = {running: 0, tokens, reserve};
		const orders = planLayerOrders(model, current, demand);
		if (orders.length === 0) {
			return current;
		}

		current = applyOrders(current, orders);
	}

	throw new Error('The orders did not settle.');
}

test('a demand that fills the KV cache gets more room from idle engines in each data centre', () => {
	const placed = createPlaced();
	const least = Math.min(
		computeLeastCapacity(placed, 'a'),
		computeLeastCapacity(placed, 'b'),
	);
	const settled = settle(placed, 2 * 1.15 * least);
	for (const dataCentre of ['a', 'b']) {
		expect(computeLeastCapacity(settled, dataCentre)).toBeGreaterThan(
			1.2 * least,
		);
	}
});

test('a demand with room changes nothing', () => {
	const placed = createPlaced();
	const least = computeLeastCapacity(placed, 'a');
	const demand = {running: 0, tokens: 2 * 0.85 * least, reserve: 2};
	expect(planLayerOrders(model, placed, demand)).toEqual([]);
});

test('the reserve stays idle under any demand, and orders end', () => {
	const placed = createPlaced();
	expect(countIdle(placed)).toBeGreaterThan(5);
	expect(countIdle(settle(placed, 1e9, 5))).toBeGreaterThanOrEqual(5);
});

test('a cache stage keeps the room that is missing beside its layers', () => {
	const placed = createPlaced();
	const tokens = 2.5 * computeLeastCapacity(placed, 'a');
	const orders = planCacheStages(model, placed, {
		running: 0,
		tokens,
		reserve: 2,
	});
	expect(orders.length).toBeGreaterThan(0);
	for (const {id, layers, reason} of orders) {
		const kind = placed.find((engine) => engine.id === id)?.kind ?? '';
		expect(reason).toBe('cache');
		expect(layers.to - layers.from).toBeLessThanOrEqual(
			computeLayersWithCapacity(model, kind, 1),
		);
	}
});

test('layers that nobody holds are left to the orders that close gaps', () => {
	const placed = createPlaced().filter(({layers}) => layers?.from !== 0);
	expect(
		planCacheStages(model, placed, {running: 0, tokens: 1e9, reserve: 0}),
	).toEqual([]);
});

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FairQueue, type WorkItem} from '../fair-queue.js';

type Item = {readonly customer: string; readonly order: number};

const createWork = (
	customer: string,
	weight: number,
	{cost = 1, priority = 0, order = 0} = {},
): WorkItem<Item> => ({
	sharePath: [
		{key: customer, weight},
		{key: 'model', weight: 1},
	],
	cost,
	priority,
	value: {customer, order},
});

function takeCosts(queue: FairQueue<Item>, total: number): Map<string, number> {
	const costs = new Map<string, number>();
	let taken = 0;
	while (taken < total) {
		const work = queue.take();
		if (!work) {
			break;
		}

		taken += work.cost;
		const {customer} = work.value;
		costs.set(customer, (costs.get(customer) ?? 0) + work.cost);
	}

	return costs;
}

describe('FairQueue', () => {
	it('shares by weight and cost, not by the number of items', () => {
		const queue = new FairQueue<Item>(0);
		for (let index = 0; index < 5000; index++) {
			queue.add(createWork('small', 3, {cost: 1}));
		}

		for (let index = 0; index < 50; index++) {
			queue.add(createWork('large', 1, {cost: 100}));
		}

		const costs = takeCosts(queue, 4000);
		expect(costs.get('small')).toBeGreaterThan(2800);
		expect(costs.get('small')).toBeLessThan(3200);
	});

	it('serves backlogged customers in proportion to any weights', () => {
		const weights = fc.array(fc.integer({min: 1, max: 50}), {
			minLength: 2,
			maxLength: 10,
		});
		fc.assert(
			fc.property(
				weights,
				fc.integer({min: 1, max: 9}),
				(customerWeights, cost) => {
					const queue = new FairQueue<Item>(10);
					const sum = customerWeights.reduce(
						(total, weight) => total + weight,
						0,
					);
					const total = 100 * sum;
					for (const [index, weight] of customerWeights.entries()) {
						for (let item = 0; item < 200 * weight; item++) {
							queue.add(
								createWork(`customer-${index}`, weight, {
									cost: 1 + ((item * cost) % 7),
									priority: index % 3,
								}),
							);
						}
					}

					const costs = takeCosts(queue, total);
					for (const [index, weight] of customerWeights.entries()) {
						const share = costs.get(`customer-${index}`) ?? 0;
						const due = (total * weight) / sum;
						// Tolerance: one item of the largest cost and the borrowed time per customer.
						expect(Math.abs(share - due)).toBeLessThan(
							7 * customerWeights.length + 10 * 3 * customerWeights.length,
						);
					}
				},
			),
			{numRuns: 25, seed: 5},
		);
	});

	it('serves a higher priority first without starving the others', () => {
		const queue = new FairQueue<Item>(5);
		for (let index = 0; index < 200; index++) {
			queue.add(createWork('low', 1));
			queue.add(createWork('high', 1, {priority: 9}));
		}

		const first = takeCosts(queue, 40);
		expect(first.get('high')).toBe(40);
		const rest = takeCosts(queue, 160);
		expect(rest.get('low')).toBeGreaterThan(70);
	});

	it('gives a customer no credit for idle time', () => {
		const queue = new FairQueue<Item>(0);
		for (let index = 0; index < 300; index++) {
			queue.add(createWork('busy', 1));
		}

		queue.add(createWork('idle', 1));
		takeCosts(queue, 200);
		for (let index = 0; index < 100; index++) {
			queue.add(createWork('idle', 1));
		}

		const costs = takeCosts(queue, 100);
		expect(costs.get('idle')).toBeLessThanOrEqual(51);
	});

	it('orders the work of one customer by priority, then by arrival', () => {
		const queue = new FairQueue<Item>(1);
		queue.add(createWork('a', 1, {priority: 1, order: 1}));
		queue.add(createWork('a', 1, {priority: 5, order: 2}));
		queue.add(createWork('a', 1, {priority: 1, order: 3}));
		const orders = [queue.take(), queue.take(), queue.take()].map(
			(work) => work?.value.order,
		);
		expect(orders).toEqual([2, 1, 3]);
	});

	it('removes work and its cost', () => {
		const queue = new FairQueue<Item>(0);
		queue.add(createWork('a', 1, {cost: 4, order: 1}));
		queue.add(createWork('b', 1, {cost: 2, order: 2}));
		expect(queue.remove(({customer}) => customer === 'a')).toBe(1);
		expect(queue.cost).toBe(2);
		expect(queue.take()?.value.order).toBe(2);
		expect(queue.take()).toBeUndefined();
	});
});

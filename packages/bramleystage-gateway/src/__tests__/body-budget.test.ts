import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {BodyBudget, type HeldBody} from '../body-budget.js';

const maxSum = 48 * 1024 * 1024;

/** Registers a body that is removed when it is refused, as a reader of bodies does. */
function addBody(budget: BodyBudget, bytes: number) {
	const state = {isRefused: false};
	const held: HeldBody = budget.register(() => {
		state.isRefused = true;
		budget.remove(held);
	});
	budget.add(held, bytes);
	return {held, state};
}

test('the longest body that is still arriving is refused first', () => {
	const budget = new BodyBudget();
	const whole = addBody(budget, 20 * 1024 * 1024);
	budget.complete(whole.held);
	const long = addBody(budget, 15 * 1024 * 1024);
	const short = addBody(budget, 4 * 1024 * 1024);
	budget.add(short.held, 2 * 1024 * 1024);
	expect([whole, long, short].map(({state}) => state.isRefused)).toEqual([
		false,
		true,
		false,
	]);
});

test('large bodies take no room from small ones', () => {
	const budget = new BodyBudget();
	for (let count = 0; count < 20; count++) {
		addBody(budget, 4 * 1024 * 1024);
	}

	const small = addBody(budget, 800);
	expect(small.state.isRefused).toBe(false);
});

test('the sum stays within its bound, and is zero once all bodies are removed', () => {
	const step = fc.record({
		body: fc.nat(20),
		bytes: fc.integer({min: 1, max: 6 * 1024 * 1024}),
		ends: fc.boolean(),
	});
	fc.assert(
		fc.property(fc.array(step, {maxLength: 200}), (steps) => {
			const budget = new BodyBudget();
			const bodies = new Map<number, HeldBody>();
			for (const {body, bytes, ends} of steps) {
				const known = bodies.get(body);
				if (known && ends) {
					budget.remove(known);
					bodies.delete(body);
				} else if (known) {
					budget.add(known, bytes);
				} else {
					bodies.set(body, addBody(budget, bytes).held);
				}

				expect(budget.heldBytes).toBeGreaterThanOrEqual(0);
				expect(budget.heldBytes).toBeLessThanOrEqual(maxSum);
			}

			for (const held of bodies.values()) {
				budget.remove(held);
			}

			expect(budget.heldBytes).toBe(0);
		}),
		{seed: 47, numRuns: 300},
	);
});

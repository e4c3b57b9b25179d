import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toFencingToken} from '../../protocol/ids.js';
import {
	createFence,
	decideFence,
	type FenceCommand,
	type FenceEvent,
	type FenceState,
	type FencedOrder,
} from '../fence.js';

const createOrder = (number: number, index = 0): FencedOrder<string> => ({
	number: toFencingToken(number),
	index,
	order: `${number}/${index}`,
});

const run = (events: ReadonlyArray<FenceEvent<string>>) => {
	let state: FenceState<string> = createFence();
	let last: ReadonlyArray<FenceCommand<string>> = [];
	for (const event of events) {
		[state, last] = decideFence(state, event);
	}

	return {state, last};
};

const learned = (highest: number): FenceEvent<string> => ({
	type: 'learned',
	highest: toFencingToken(highest),
});
const ordered = (number: number, index = 0): FenceEvent<string> => ({
	type: 'ordered',
	ordered: createOrder(number, index),
});

test('a new agent refuses all orders until it knows the highest fencing token', () => {
	const {last} = run([ordered(7)]);
	expect(last).toEqual([
		{type: 'refuse', ordered: createOrder(7), result: 'fenceUnknown'},
	]);
});

test('an order with a lower fencing token is refused', () => {
	const {last} = run([learned(9), ordered(7)]);
	expect(last).toEqual([
		{type: 'refuse', ordered: createOrder(7), result: 'staleOrder'},
	]);
});

test('the server is inspected before an order whose answer was lost is applied again', () => {
	const events = [learned(1), ordered(5), {type: 'ended'} as const];
	expect(run(events).last).toEqual([{type: 'inspect'}]);
	expect(run([...events, {type: 'inspected', isAsOrdered: true}]).last).toEqual(
		[{type: 'confirm', ordered: createOrder(5)}],
	);
	expect(
		run([...events, {type: 'inspected', isAsOrdered: false}]).last,
	).toEqual([{type: 'apply', ordered: createOrder(5)}]);
});

test('an order that is received twice is not applied twice', () => {
	const events = [learned(1), ordered(5), ordered(5)];
	expect(run(events).last).toEqual([]);
	const inEffect = [
		...events,
		{type: 'ended'} as const,
		{type: 'inspected', isAsOrdered: true} as const,
		ordered(5),
	];
	expect(run(inEffect).last).toEqual([{type: 'inspect'}]);
	expect(
		run([...inEffect, {type: 'inspected', isAsOrdered: false}]).last,
	).toEqual([{type: 'apply', ordered: createOrder(5)}]);
});

test('the newest order is applied again after an older one took effect late', () => {
	const {last} = run([
		learned(1),
		ordered(5),
		ordered(6),
		{type: 'ended'},
		{type: 'inspected', isAsOrdered: false},
		{type: 'ended'},
		{type: 'inspected', isAsOrdered: true},
		{type: 'inspected', isAsOrdered: false},
	]);
	expect(last).toEqual([{type: 'apply', ordered: createOrder(6)}]);
});

test('orders are applied one at a time, in the order of token and index', () => {
	const event = fc.oneof(
		fc.record({
			type: fc.constant('ordered' as const),
			ordered: fc
				.tuple(fc.nat(5), fc.nat(2))
				.map(([number, index]) => createOrder(number, index)),
		}),
		fc.nat(5).map((number) => learned(number)),
		fc.constant({type: 'ended'} as const),
		fc.boolean().map((isAsOrdered) => ({
			type: 'inspected' as const,
			isAsOrdered,
		})),
	);
	fc.assert(
		fc.property(fc.array(event, {maxLength: 50}), (events) => {
			let state: FenceState<string> = createFence();
			let last = createOrder(0);
			for (const each of events) {
				const before = state;
				const [next, commands] = decideFence(state, each);
				state = next;
				for (const command of commands) {
					if (command.type === 'apply') {
						expect(before.running === undefined || each.type === 'ended').toBe(
							true,
						);
						const {number, index} = command.ordered;
						expect(
							number - last.number || index - last.index,
						).toBeGreaterThanOrEqual(0);
						last = command.ordered;
					}
				}
			}
		}),
		{seed: 13, numRuns: 1000},
	);
});

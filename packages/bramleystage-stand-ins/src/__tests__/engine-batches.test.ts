import {expect, test} from 'vitest';
import {BatchRunner} from '../engine-batches.js';
import type {Step} from '../engine-schema.js';

const createStep = (sequence: string, priority: number): Step => ({
	sequence,
	position: 0,
	fromLayer: 0,
	toLayer: 1,
	priority,
	input: {kind: 'token', token: 1},
});

function createRunner(maxBatchSteps: number) {
	const order: string[] = [];
	const runner = new BatchRunner({
		kind: 'large',
		maxBatchSteps,
		runStep(step) {
			order.push(step.sequence);
			const {sequence, position} = step;
			return {answer: {sequence, position}, tokens: 1};
		},
		onChange() {
			// The counts are not looked at here.
		},
	});
	return {runner, order};
}

test('steps of a higher priority go into the next batch first', async () => {
	const {runner, order} = createRunner(1);
	await Promise.all([
		runner.add(createStep('first', 0)),
		runner.add(createStep('low', 1)),
		runner.add(createStep('high', 9)),
	]);
	expect(order).toEqual(['first', 'high', 'low']);
});

test('steps of equal priority run in the order they came', async () => {
	const {runner, order} = createRunner(1);
	await Promise.all(
		['a', 'b', 'c'].map(async (name) => runner.add(createStep(name, 5))),
	);
	expect(order).toEqual(['a', 'b', 'c']);
});

test('a cancelled step that waits is answered and never runs', async () => {
	const {runner, order} = createRunner(1);
	const first = runner.add(createStep('first', 0));
	const second = runner.add(createStep('second', 0));
	runner.cancel('second');
	expect(await second).toMatchObject({error: 'cancelled'});
	await first;
	expect(order).toEqual(['first']);
});

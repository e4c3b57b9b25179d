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
	const executedSequences: string[] = [];
	const runner = new BatchRunner({
		kind: 'large',
		maxBatchSteps,
		runStep(step) {
			executedSequences.push(step.sequence);
			const {sequence, position} = step;
			return {output: {sequence, position}, tokens: 1};
		},
		onChange() {
			// These tests don't check the counts.
		},
	});
	return {runner, order: executedSequences};
}

test('steps with a higher priority enter the next batch first', async () => {
	const {runner, order} = createRunner(1);
	await Promise.all([
		runner.add(createStep('first', 0)),
		runner.add(createStep('low', 1)),
		runner.add(createStep('high', 9)),
	]);
	expect(order).toEqual(['first', 'high', 'low']);
});

test('steps of equal priority run in the order of their arrival', async () => {
	const {runner, order} = createRunner(1);
	await Promise.all(
		['a', 'b', 'c'].map(async (name) => runner.add(createStep(name, 5))),
	);
	expect(order).toEqual(['a', 'b', 'c']);
});

test('a waiting step that is cancelled resolves with an error and never runs', async () => {
	const {runner, order} = createRunner(1);
	const first = runner.add(createStep('first', 0));
	const second = runner.add(createStep('second', 0));
	runner.cancel('second');
	expect(await second).toMatchObject({error: 'cancelled'});
	await first;
	expect(order).toEqual(['first']);
});

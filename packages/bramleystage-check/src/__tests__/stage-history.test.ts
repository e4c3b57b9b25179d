import fc from 'fast-check';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {computeReferenceCompletion} from 'bramleystage-stand-ins';
import {expect, test} from 'vitest';
import {simulatedLayerCount} from '../simulated-engine.js';
import {type StageFault, StageSimulation} from '../stage-simulation.js';

const prompt = 'which gate opens first';
const maxTokens = 60;
const reference = computeReferenceCompletion(
	prompt,
	simulatedLayerCount,
	maxTokens,
);

const faultKinds = [
	'agentCrash',
	'engineCrash',
	'pause',
	'entrySessionLost',
	'peerSessionsLost',
] as const;

function runSimulation(faults: readonly StageFault[], seed: number) {
	const generator = xoroshiro128plus(seed);
	const drawDelay = () => uniformInt(generator, 0, 11);

	return new StageSimulation({prompt, maxTokens, faults, drawDelay}).run();
}

test('an answer without faults equals the reference answer', () => {
	const history = runSimulation([], 1);
	expect(history).toMatchObject({
		outcome: 'whole',
		tokens: reference.tokens,
		attempts: 1,
	});
});

for (const kind of faultKinds) {
	test(`an answer is complete when any stage has the fault ${kind} at any time`, () => {
		for (let host = 0; host < 3; host++) {
			for (let at = 0; at < 1500; at += 7) {
				const history = runSimulation([{kind, at, host}], at + 1);
				expect({at, host, ...history}).toMatchObject({
					outcome: 'whole',
					tokens: reference.tokens,
				});
			}
		}
	});
}

test('an answer is complete after several faults, concurrent or in sequence', () => {
	const fault = fc.record({
		kind: fc.constantFrom(...faultKinds),
		at: fc.integer({min: 0, max: 3000}),
		host: fc.integer({min: 0, max: 8}),
	});
	fc.assert(
		fc.property(
			fc.array(fault, {minLength: 1, maxLength: 6}),
			fc.nat({max: 1_000_000}),
			(faults, seed) => {
				const history = runSimulation(faults, seed);
				expect(history).toMatchObject({
					outcome: 'whole',
					tokens: reference.tokens,
				});
			},
		),
		{seed: 4, numRuns: 2000},
	);
});

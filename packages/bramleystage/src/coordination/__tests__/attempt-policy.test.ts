import fc from 'fast-check';
import {expect, test} from 'vitest';
import {type AttemptOutcome, decideNextStep} from '../attempt-policy.js';

const allow = () => true;
const refuse = () => false;
const history = {sent: 1, ran: 1, mayHaveRun: true};
const fresh = {sent: 1, ran: 0, mayHaveRun: false};
const bounds = {isRepeatable: false, maxAttempts: 2, remainingMs: 1000};

test('a request that may not be repeated is sent again only if it has not run', () => {
	expect(decideNextStep('notRun', fresh, bounds, allow)).toBe('repeat');
	expect(decideNextStep('unknown', history, bounds, allow)).toBe('fail');
	expect(decideNextStep('notRun', history, bounds, allow)).toBe('fail');
});

test('a refusal says that the request has not run only if that is certain', () => {
	expect(decideNextStep('notRun', fresh, bounds, refuse)).toBe('refuse');
	expect(decideNextStep('unknown', history, bounds, refuse)).toBe('fail');
});

test('a repeatable request runs at no more servers than allowed', () => {
	const repeatable = {...bounds, isRepeatable: true};
	expect(decideNextStep('unknown', history, repeatable, allow)).toBe('repeat');
	const spent = {sent: 2, ran: 2, mayHaveRun: true};
	expect(decideNextStep('unknown', spent, repeatable, allow)).toBe('fail');
	expect(decideNextStep('failed', spent, repeatable, allow)).toBe('passOn');
});

test('the budget is spent only for a repeat', () => {
	let asked = 0;
	const count = () => {
		asked++;
		return true;
	};

	decideNextStep('unknown', history, bounds, count);
	decideNextStep('notRun', fresh, {...bounds, remainingMs: 1}, count);
	expect(asked).toBe(0);
});

test('no request is refused as not run after it may have run', () => {
	fc.assert(
		fc.property(
			fc.record({
				outcome: fc.constantFrom<AttemptOutcome>('notRun', 'unknown', 'failed'),
				sent: fc.nat({max: 6}),
				ran: fc.nat({max: 3}),
				isRepeatable: fc.boolean(),
				isAllowed: fc.boolean(),
			}),
			({outcome, sent, ran, isRepeatable, isAllowed}) => {
				const step = decideNextStep(
					outcome,
					{sent, ran, mayHaveRun: true},
					{...bounds, isRepeatable},
					() => isAllowed,
				);
				expect(step).not.toBe('refuse');
				if (!isRepeatable) {
					expect(step).not.toBe('repeat');
				}
			},
		),
		{seed: 3},
	);
});

import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	type AttemptOutcome,
	computeResumeDelayMs,
	decideAfterAttempt,
} from '../attempt-policy.js';

const allowRetry = () => true;
const denyRetry = () => false;
const ranHistory = {sent: 1, ran: 1, mayHaveRun: true};
const notRunHistory = {sent: 1, ran: 0, mayHaveRun: false};
const bounds = {
	isRepeatable: false,
	maxAttempts: 2,
	isEndingServers: false,
	remainingMs: 1000,
	isAnswerStarted: false,
};

test('a request that may not be repeated is sent again only if it has not run', () => {
	expect(decideAfterAttempt('notRun', notRunHistory, bounds, allowRetry)).toBe(
		'retry',
	);
	expect(decideAfterAttempt('unknown', ranHistory, bounds, allowRetry)).toBe(
		'fail',
	);
	expect(decideAfterAttempt('notRun', ranHistory, bounds, allowRetry)).toBe(
		'fail',
	);
});

test('a request is refused as not run only if it certainly has not run', () => {
	expect(decideAfterAttempt('notRun', notRunHistory, bounds, denyRetry)).toBe(
		'refuse',
	);
	expect(decideAfterAttempt('unknown', ranHistory, bounds, denyRetry)).toBe(
		'fail',
	);
});

test('a repeatable request runs on no more servers than allowed', () => {
	const repeatable = {...bounds, isRepeatable: true};
	expect(
		decideAfterAttempt('unknown', ranHistory, repeatable, allowRetry),
	).toBe('retry');
	const exhaustedHistory = {sent: 2, ran: 2, mayHaveRun: true};
	expect(
		decideAfterAttempt('unknown', exhaustedHistory, repeatable, allowRetry),
	).toBe('fail');
	expect(
		decideAfterAttempt('failed', exhaustedHistory, repeatable, allowRetry),
	).toBe('forward');
});

test('the retry budget is spent only for a retry', () => {
	let spentRetries = 0;
	const count = () => {
		spentRetries++;
		return true;
	};

	decideAfterAttempt('unknown', ranHistory, bounds, count);
	decideAfterAttempt(
		'notRun',
		notRunHistory,
		{...bounds, remainingMs: 1},
		count,
	);
	expect(spentRetries).toBe(0);
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
				const step = decideAfterAttempt(
					outcome,
					{sent, ran, mayHaveRun: true},
					{...bounds, isRepeatable},
					() => isAllowed,
				);
				expect(step).not.toBe('refuse');
				if (!isRepeatable) {
					expect(step).not.toBe('retry');
				}
			},
		),
		{seed: 3},
	);
});

// Guards against answers that ended incomplete, with most of their time left, when
// connections to the remaining engines failed one after the other.
test('a started answer is not given up while a run and time are left', () => {
	fc.assert(
		fc.property(
			fc.record({
				outcome: fc.constantFrom<AttemptOutcome>('notRun', 'unknown', 'failed'),
				sent: fc.integer({min: 1, max: 100}),
				ran: fc.nat({max: 3}),
				maxAttempts: fc.integer({min: 1, max: 3}),
				remainingMs: fc.integer({min: 0, max: 30_000}),
				isAllowed: fc.boolean(),
			}),
			({outcome, sent, ran, maxAttempts, remainingMs, isAllowed}) => {
				const started = {
					isRepeatable: true,
					isAnswerStarted: true,
					maxAttempts,
					isEndingServers: false,
					remainingMs,
				};
				const step = decideAfterAttempt(
					outcome,
					{sent, ran, mayHaveRun: true},
					started,
					() => isAllowed,
				);
				const mayGoOn =
					remainingMs >= 30 && (outcome === 'notRun' || ran < maxAttempts);
				const next = isAllowed ? 'retry' : 'wait';
				const end = outcome === 'failed' ? 'forward' : 'fail';
				expect(step).toBe(mayGoOn ? next : end);
			},
		),
		{seed: 25},
	);
});

test('attempts of a started answer at refusing paths come at a bounded rate', () => {
	const delays = [0, 1, 2, 3, 4, 5, 50].map((refusals) =>
		computeResumeDelayMs(refusals),
	);
	expect(delays).toEqual([0, 50, 100, 200, 400, 400, 400]);
});

test('a started answer waits for the retry budget instead of ending incomplete', () => {
	const started = {...bounds, isRepeatable: true, isAnswerStarted: true};
	expect(decideAfterAttempt('notRun', ranHistory, started, denyRetry)).toBe(
		'wait',
	);
	expect(decideAfterAttempt('unknown', ranHistory, started, denyRetry)).toBe(
		'wait',
	);
	const isLate = {...started, remainingMs: 20};
	expect(decideAfterAttempt('notRun', ranHistory, isLate, denyRetry)).toBe(
		'fail',
	);
});

import {expect, test} from 'vitest';
import {
	computeSuccessorServingAt,
	computeEndAt,
	computeAcceptUntil,
	computeCallMs,
	decideDrainRefusal,
} from '../drain-policy.js';

const times = {stoppingAt: 10_000, graceMs: 8000};

test('a stopping gateway accepts all calls until the platform sends none', () => {
	const now = computeAcceptUntil(times) - 1;
	expect(decideDrainRefusal(times, {estimateMs: 60_000}, now)).toBeUndefined();
});

test('later it accepts only calls that end before it exits', () => {
	const now = computeAcceptUntil(times) + 500;
	const left = computeEndAt(times) - now;
	expect(decideDrainRefusal(times, {estimateMs: left}, now)).toBeUndefined();
	const refusal = decideDrainRefusal(times, {estimateMs: left + 1}, now);
	expect(refusal?.result).toBe('stopping');
	expect(refusal?.outcome).toBe('not-run');
});

test('a refused caller is asked to retry when a gateway serves', () => {
	const now = computeAcceptUntil(times) + 500;
	const refuse = (servingAt?: number) =>
		decideDrainRefusal(times, {estimateMs: 60_000, servingAt}, now);
	expect(refuse(now - 100)?.retryAfterSeconds).toBe(0.05);
	expect(refuse(now + 2000)?.retryAfterSeconds).toBe(2);
	const ownMs = computeSuccessorServingAt(times) - now;
	expect(refuse()?.retryAfterSeconds).toBe(ownMs / 1000);
	expect(refuse(now + 60_000)?.retryAfterSeconds).toBe(ownMs / 1000);
});

test('a call is expected to take twice as long as its tokens say and as any of its route took', () => {
	const untilDeadlineMs = 20_000;
	const compute = (namedMs?: number, longestMs?: number) =>
		computeCallMs({namedMs, longestMs, untilDeadlineMs});
	expect(compute(400, 300)).toBe(800);
	expect(compute(400, 1500)).toBe(3000);
	expect(compute(undefined, 20)).toBe(40);
	expect(compute(undefined, undefined)).toBe(untilDeadlineMs);
	expect(compute(undefined, 15_000)).toBe(untilDeadlineMs);
});

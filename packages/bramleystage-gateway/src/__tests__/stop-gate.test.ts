import {expect, test} from 'vitest';
import {
	computeBackAt,
	computeEndAt,
	computeTakeUntil,
	decideStopRefusal,
} from '../stop-gate.js';

const times = {stoppingAt: 10_000, graceMs: 8000};

test('a stopping gateway takes all calls until the platform sends none', () => {
	const now = computeTakeUntil(times) - 1;
	expect(decideStopRefusal(times, {estimateMs: 60_000}, now)).toBeUndefined();
});

test('later it takes only calls that end before it does', () => {
	const now = computeTakeUntil(times) + 500;
	const left = computeEndAt(times) - now;
	expect(decideStopRefusal(times, {estimateMs: left}, now)).toBeUndefined();
	const refusal = decideStopRefusal(times, {estimateMs: left + 1}, now);
	expect(refusal?.result).toBe('stopping');
	expect(refusal?.outcome).toBe('not-run');
});

test('a refused caller is told to come back when a gateway serves', () => {
	const now = computeTakeUntil(times) + 500;
	const refuse = (servingAt?: number) =>
		decideStopRefusal(times, {estimateMs: 60_000, servingAt}, now);
	expect(refuse(now - 100)?.retryAfterSeconds).toBe(0.05);
	expect(refuse(now + 2000)?.retryAfterSeconds).toBe(2);
	const ownMs = computeBackAt(times) - now;
	expect(refuse()?.retryAfterSeconds).toBe(ownMs / 1000);
	expect(refuse(now + 60_000)?.retryAfterSeconds).toBe(ownMs / 1000);
});

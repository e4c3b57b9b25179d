import {expect, test} from 'vitest';
import {computeBeginningMs, maxReadingMs} from '../reading-round.js';

const round = {startedAt: 1000, begunAt: 1000};

test('a process reads on while something new arrives, for a bounded time', () => {
	expect(computeBeginningMs(round, true, 1001)).toBeUndefined();
	expect(computeBeginningMs(round, true, 1000 + maxReadingMs)).toBe(20);
	expect(computeBeginningMs(round, false, 1001)).toBe(20);
});

// Load pattern: running calls need all of the process.
test('calls begin for a shorter time, and then none, as the round gets longer', () => {
	expect(computeBeginningMs(round, true, 1050)).toBe(10);
	expect(computeBeginningMs(round, false, 1060)).toBe(0);
});

test('one call begins after a while however long the rounds are', () => {
	const begunAt = 1000;
	expect(computeBeginningMs({startedAt: 1200, begunAt}, true, 1270)).toBe(1);
});

import {expect, test} from 'vitest';
import {listRepeatTimes} from '../attempt-arrivals.js';

const unknown = Number.POSITIVE_INFINITY;

test('a request without retries has no repeat', () => {
	expect(listRepeatTimes({spent: 0, latestAt: [unknown]})).toEqual([]);
});

test('a retry that is not sent yet may arrive at any time', () => {
	expect(listRepeatTimes({spent: 1, latestAt: [100]})).toEqual([unknown]);
});

// Guards against a first attempt that costs nothing although it arrives after its retry.
test('the attempts that may arrive last are the repeats', () => {
	expect(listRepeatTimes({spent: 1, latestAt: [unknown, 200]})).toEqual([
		unknown,
	]);
	expect(listRepeatTimes({spent: 2, latestAt: [900, 200, 300]})).toEqual([
		900, 300,
	]);
});

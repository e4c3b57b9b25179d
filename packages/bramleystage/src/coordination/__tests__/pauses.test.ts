import {expect, test} from 'vitest';
import {toBackendId} from '../../protocol/ids.js';
import {
	createPauses,
	findFirstPauseEnd,
	isPaused,
	maxPauseMs,
	parsePauseMs,
	recordPause,
	removePause,
} from '../pauses.js';

const [one, two] = [toBackendId('one'), toBackendId('two')];

test('a pause is read in seconds with a fraction', () => {
	expect(parsePauseMs('2')).toBe(2000);
	expect(parsePauseMs(' 0.25 ')).toBe(250);
	expect(parsePauseMs('0')).toBe(0);
});

test('an absurdly long pause is cut, and other texts are no pause', () => {
	expect(parsePauseMs('9'.repeat(30))).toBe(maxPauseMs);
	for (const text of [
		'',
		'-1',
		'1e3',
		'soon',
		'Fri, 04 Dec 2026 08:00:00 GMT',
	]) {
		expect(parsePauseMs(text)).toBeUndefined();
	}
});

test('a pause ends at its time, and the longest one counts', () => {
	const pauses = recordPause(
		recordPause(createPauses(), one, 3000, 1000),
		one,
		500,
		2000,
	);
	expect(isPaused(pauses, one, 3999)).toBe(true);
	expect(isPaused(pauses, one, 4000)).toBe(false);
	expect(isPaused(pauses, two, 3000)).toBe(false);
	expect(isPaused(removePause(pauses, one), one, 3000)).toBe(false);
});

test('callers wait for the first pause that ends', () => {
	let pauses = recordPause(createPauses(), one, 3000, 1000);
	pauses = recordPause(pauses, two, 1000, 1000);
	expect(findFirstPauseEnd(pauses, [one, two], 1500)).toBe(2000);
	expect(findFirstPauseEnd(pauses, [one, two], 2500)).toBe(4000);
	expect(findFirstPauseEnd(pauses, [one, two], 4000)).toBeUndefined();
});

import {expect, test} from 'vitest';
import {toBackendId} from '../../protocol/ids.js';
import {
	createInstanceEnds,
	hasInstanceEnded,
	recordInstanceEnd,
} from '../instance-ends.js';

const id = toBackendId('engine');

test('a refused connection ends the requests that were sent before it was tried, and no later ones', () => {
	const ends = recordInstanceEnd(createInstanceEnds(), id, 100);
	expect(hasInstanceEnded(ends, {id, sentAt: 99})).toBe(true);
	expect(hasInstanceEnded(ends, {id, sentAt: 100})).toBe(false);
	const other = toBackendId('other');
	expect(hasInstanceEnded(ends, {id: other, sentAt: 0})).toBe(false);
});

test('a refused connection that is recorded late replaces no newer one', () => {
	const newer = recordInstanceEnd(createInstanceEnds(), id, 100);
	const ends = recordInstanceEnd(newer, id, 50);
	expect(hasInstanceEnded(ends, {id, sentAt: 99})).toBe(true);
});

test('the servers whose ends are remembered are bounded', () => {
	let ends = createInstanceEnds();
	for (let count = 0; count < 2000; count++) {
		ends = recordInstanceEnd(ends, toBackendId(`engine-${count}`), 100);
	}

	expect(ends.size).toBe(1024);
	const last = toBackendId('engine-1999');
	expect(hasInstanceEnded(ends, {id: last, sentAt: 0})).toBe(true);
});

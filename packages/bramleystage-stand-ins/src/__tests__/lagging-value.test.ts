import {expect, test} from 'vitest';
import {LaggingValue} from '../lagging-value.js';

test('a change becomes visible after the lag', () => {
	const value = new LaggingValue('first', 500);
	value.update('second', 1000);
	value.update('third', 1200);
	expect(value.read(1499).value).toBe('first');
	expect(value.read(1500)).toEqual({at: 1000, value: 'second'});
	expect(value.read(1699).value).toBe('second');
	expect(value.read(5000)).toEqual({at: 1200, value: 'third'});
});

import {expect, test} from 'vitest';
import {createStoreEra, isListRestored, recordStoreEra} from '../store-era.js';

test('the first era that is seen is no restoration', () => {
	const state = recordStoreEra(createStoreEra(), 3, 1000);
	expect(state).toEqual({era: 3});
	expect(isListRestored(state, 1000)).toBe(false);
});

test('after each rise of the era the list counts as restored for a while', () => {
	const first = recordStoreEra(createStoreEra(), 0, 0);
	const restored = recordStoreEra(first, 1, 5000);
	expect(isListRestored(restored, 12_999)).toBe(true);
	expect(isListRestored(restored, 13_000)).toBe(false);
	const twice = recordStoreEra(restored, 2, 12_000);
	expect(isListRestored(twice, 19_999)).toBe(true);
});

test('a delayed answer of an older era changes nothing', () => {
	const restored = recordStoreEra({era: 1}, 2, 5000);
	expect(recordStoreEra(restored, 1, 9000)).toBe(restored);
	expect(recordStoreEra(restored, 2, 9000)).toBe(restored);
});

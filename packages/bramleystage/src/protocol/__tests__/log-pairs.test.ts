import fc from 'fast-check';
import {expect, test} from 'vitest';
import {formatPairs, parsePairs} from '../log-pairs.js';

test('parsing a formatted line returns its fields', () => {
	fc.assert(
		fc.property(
			fc.dictionary(
				fc.string({unit: fc.constantFrom('a', 'b', 'c'), minLength: 1}),
				fc.string({minLength: 1}),
			),
			(fields) => {
				expect(parsePairs(formatPairs(fields))).toEqual({...fields});
			},
		),
		{seed: 1},
	);
});

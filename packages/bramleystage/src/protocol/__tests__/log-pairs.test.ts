import fc from 'fast-check';
import {expect, test} from 'vitest';
import {formatPairs, parsePairs} from '../log-pairs.js';

test('a line is read back as it was written', () => {
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

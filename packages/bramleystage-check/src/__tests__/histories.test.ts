import {expect, test} from 'vitest';
import {checkCallHistories} from '../call-history-property.js';
import {historyChecks} from '../history-checks.js';
import {createMechanisms} from '../request-mechanisms.js';

test.each(
	historyChecks.flatMap(({name, check}) =>
		[1, 2, 3].map((seed) => [name, seed, check] as const),
	),
)(
	'histories of %s with seed %i satisfy the invariants',
	(_name, seed, check) => {
		expect(() => {
			check(seed, 300);
		}).not.toThrow();
	},
);

test.each([
	'run-at-most-once',
	'not-run-means-not-run',
	'unknown-never-repeated',
])(
	'histories without the mechanism behind %s violate an invariant',
	(invariant) => {
		expect(() => {
			checkCallHistories(1, 3000, createMechanisms(invariant));
		}).toThrow('Property failed');
	},
);

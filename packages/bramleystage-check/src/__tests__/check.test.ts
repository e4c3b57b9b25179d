import {describe, expect, test} from 'vitest';
import {checkWithoutMechanism, checkSpecification} from '../check-report.js';
import {specifications} from '../specifications.js';

/**
 * Generous, because an exploration is bounded by its number of states and only
 * takes longer on a busy host.
 */
const explorationTimeoutMs = 300_000;

describe.each(specifications.map((each) => [each.name, each] as const))(
	'specification %s',
	(name, specification) => {
		test('holds in the small models', {timeout: explorationTimeoutMs}, () => {
			const {hasPassed, lines} = checkSpecification(specification, 'small');
			expect(hasPassed, lines.join('\n')).toBe(true);
		});

		test.each(specification.invariants.map((invariant) => invariant.name))(
			'a counter-example is found without the mechanism behind %s',
			(invariant) => {
				const {hasPassed, lines} = checkWithoutMechanism(
					[specification],
					`${name}/${invariant}`,
					'small',
				);
				expect(hasPassed, lines.join('\n')).toBe(true);
			},
		);
	},
);

import {describe, expect, test} from 'vitest';
import {checkBrokenRule, checkSpecification} from '../check-report.js';
import {specifications} from '../specifications.js';

/** An exploration is bounded by its states; a busy host only takes longer. */
const exploreTimeoutMs = 300_000;

describe.each(specifications.map((each) => [each.name, each] as const))(
	'specification %s',
	(name, specification) => {
		test('holds at the small sizes', {timeout: exploreTimeoutMs}, () => {
			const {isRight, lines} = checkSpecification(specification, 'small');
			expect(isRight, lines.join('\n')).toBe(true);
		});

		test.each(specification.rules.map((rule) => rule.name))(
			'without the mechanism of %s a counter-example is found',
			(rule) => {
				const {isRight, lines} = checkBrokenRule(
					[specification],
					`${name}/${rule}`,
					'small',
				);
				expect(isRight, lines.join('\n')).toBe(true);
			},
		);
	},
);

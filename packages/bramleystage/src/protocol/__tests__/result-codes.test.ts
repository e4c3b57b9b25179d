import {expect, test} from 'vitest';
import {
	createFailure,
	isNotRunStatus,
	outcomeSchema,
	resultCodes,
	resultNameSchema,
	selectStatus,
} from '../result-codes.js';

const names = resultNameSchema.options;

// Guards against a code whose own status promises what its outcome does not.
test.each(names)(
	'the status of %s promises no more than its outcome',
	(name) => {
		const {status, outcome} = resultCodes[name];
		expect(isNotRunStatus(status) && outcome !== 'not-run').toBe(false);
	},
);

test.each(names)(
	'a failure %s has a status that promises only what its own outcome says',
	(name) => {
		for (const outcome of outcomeSchema.options) {
			const status = selectStatus(createFailure(name, '', {outcome}));
			expect(isNotRunStatus(status) && outcome !== 'not-run').toBe(false);
		}

		const {status} = resultCodes[name];
		expect(selectStatus(createFailure(name, ''))).toBe(status);
	},
);

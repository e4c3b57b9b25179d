/** Checks randomly generated call histories with fast-check. */
import fc from 'fast-check';
import {runCallHistory} from './call-history.js';
import type {CallScript} from './call-script.js';
import type {RequestMechanisms} from './request-mechanisms.js';

const callScripts: fc.Arbitrary<CallScript> = fc.record({
	seed: fc.integer(),
	hosts: fc.integer({min: 1, max: 3}),
	calls: fc.array(
		fc.record({
			at: fc.integer({min: 0, max: 4000}),
			idempotent: fc.boolean(),
			deadlineMs: fc.integer({min: 50, max: 8000}),
		}),
		{minLength: 1, maxLength: 12},
	),
	faults: fc.array(
		fc.record({
			at: fc.integer({min: 0, max: 6000}),
			host: fc.integer({min: 0, max: 2}),
			kind: fc.constantFrom('lose', 'silence', 'pause', 'replace'),
		}),
		{maxLength: 12},
	),
});

/**
 * Runs random histories; throws with the shrunk script of the first that
 * violates an invariant.
 */
export function checkCallHistories(
	seed: number,
	runs: number,
	mechanisms?: RequestMechanisms,
): void {
	fc.assert(
		fc.property(callScripts, (script) => {
			const violations = runCallHistory(script, mechanisms);
			if (violations.length > 0) {
				throw new Error(violations.join('; '));
			}
		}),
		{seed, numRuns: runs},
	);
}

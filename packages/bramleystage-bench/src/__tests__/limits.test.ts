import {type Limit, toLimitKey} from 'bramleystage';
import {expect, test} from 'vitest';
import {LimitAudit} from '../limit-audit.js';
import {measureSingleEntryUse, runLimitFaults} from '../limits-bench.js';

test.each([1, 2])('no limit is exceeded under faults, seed %i', (seed) => {
	const {maxOver, faults} = runLimitFaults(seed, 90_000);
	expect(faults).toBeGreaterThan(10);
	expect(maxOver).toBe(0);
});

test('at least 90% of every limit is usable if all requests go to one entry', () => {
	expect(measureSingleEntryUse(1, 60_000)).toBeGreaterThanOrEqual(0.9);
});

test('the audit detects more than the limit within one second', () => {
	const audit = new LimitAudit();
	const key = toLimitKey('customer/a/requests_per_second');
	const limit: Limit = {key, kind: 'requests_per_second', limit: 2};
	audit.recordRateUse(limit, 1, 0);
	audit.recordRateUse(limit, 1, 500);
	expect(audit.maxOver).toBe(0);
	audit.recordRateUse(limit, 1, 999);
	expect(audit.maxOver).toBe(0.5);
});

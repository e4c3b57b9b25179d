import {expect, test} from 'vitest';
import {toHostId, toIncarnation, toLogOffset} from '../../protocol/ids.js';
import {type LimitRecord, toLimitKey} from '../../protocol/limits.js';
import {
	computeUsableLimitShare,
	createLimitMembershipState,
	foldLimitRecord,
	isSettled,
	type Limit,
} from '../limit-members.js';

const limit: Limit = {
	key: toLimitKey('customer/a/concurrent'),
	kind: 'concurrent',
	limit: 11,
};

const record = (
	kind: LimitRecord['kind'],
	name: string,
	epoch?: number,
): LimitRecord => ({
	kind,
	format: 1,
	host: toHostId(name),
	incarnation: toIncarnation(`${name}-1`),
	epoch,
});

const foldRecords = (records: readonly LimitRecord[]) => {
	let state = createLimitMembershipState();
	for (const [offset, value] of records.entries()) {
		state = foldLimitRecord(state, toLogOffset(offset), value);
	}

	return state;
};

const member = (name: string) => ({
	host: toHostId(name),
	incarnation: toIncarnation(`${name}-1`),
});

const firstRecords = [record('join', 'a'), record('confirm', 'a', 1)];

test('a new member has no share until all members confirm its epoch', () => {
	const joined = foldRecords([...firstRecords, record('join', 'b')]);
	expect(computeUsableLimitShare(joined, member('b'), limit)).toBe(0);
	expect(computeUsableLimitShare(joined, member('a'), limit)).toBeLessThan(11);
	const confirmed = foldRecords([
		...firstRecords,
		record('join', 'b'),
		record('confirm', 'b', 2),
		record('confirm', 'a', 2),
	]);
	const shares = ['a', 'b'].map((name) =>
		computeUsableLimitShare(confirmed, member(name), limit),
	);
	expect(shares[0]! + shares[1]!).toBe(11);
});

test('another incarnation on the same host is another member', () => {
	const state = foldRecords(firstRecords);
	const other = {...member('a'), incarnation: toIncarnation('a-2')};
	expect(computeUsableLimitShare(state, member('a'), limit)).toBe(11);
	expect(computeUsableLimitShare(state, other, limit)).toBe(0);
});

test('limits have no owners before the first epoch is confirmed', () => {
	expect(isSettled(createLimitMembershipState())).toBe(false);
	expect(isSettled(foldRecords([record('join', 'a')]))).toBe(false);
	expect(isSettled(foldRecords(firstRecords))).toBe(true);
});

test('limits keep their owners while a new member has not confirmed', () => {
	expect(isSettled(foldRecords([...firstRecords, record('join', 'b')]))).toBe(
		true,
	);
});

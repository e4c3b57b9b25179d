import {expect, test} from 'vitest';
import {toHostId, toIncarnation, toLogOffset} from '../../protocol/ids.js';
import {type LimitRecord, toLimitKey} from '../../protocol/limits.js';
import {
	computeUsablePart,
	createLimitMembers,
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

const fold = (records: readonly LimitRecord[]) => {
	let state = createLimitMembers();
	for (const [offset, value] of records.entries()) {
		state = foldLimitRecord(state, toLogOffset(offset), value);
	}

	return state;
};

const member = (name: string) => ({
	host: toHostId(name),
	incarnation: toIncarnation(`${name}-1`),
});

const first = [record('join', 'a'), record('confirm', 'a', 1)];

test('a newcomer owns nothing before every member has confirmed its epoch', () => {
	const joined = fold([...first, record('join', 'b')]);
	expect(computeUsablePart(joined, member('b'), limit)).toBe(0);
	expect(computeUsablePart(joined, member('a'), limit)).toBeLessThan(11);
	const confirmed = fold([
		...first,
		record('join', 'b'),
		record('confirm', 'b', 2),
		record('confirm', 'a', 2),
	]);
	const parts = ['a', 'b'].map((name) =>
		computeUsablePart(confirmed, member(name), limit),
	);
	expect(parts[0]! + parts[1]!).toBe(11);
});

test('another incarnation on the same host is another member', () => {
	const state = fold(first);
	const other = {...member('a'), incarnation: toIncarnation('a-2')};
	expect(computeUsablePart(state, member('a'), limit)).toBe(11);
	expect(computeUsablePart(state, other, limit)).toBe(0);
});

test('nobody owns a limit before the first epoch is confirmed', () => {
	expect(isSettled(createLimitMembers())).toBe(false);
	expect(isSettled(fold([record('join', 'a')]))).toBe(false);
	expect(isSettled(fold(first))).toBe(true);
});

test('owners keep their parts while a newcomer has not confirmed', () => {
	expect(isSettled(fold([...first, record('join', 'b')]))).toBe(true);
});

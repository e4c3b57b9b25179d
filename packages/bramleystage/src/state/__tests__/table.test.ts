import {expect, test} from 'vitest';
import {toLogOffset} from '../../protocol/ids.js';
import {createTable, foldRecord} from '../table.js';

const edit = (id: string, against: number | null, weight: string) => ({
	kind: 'edit',
	format: 1,
	edit: id,
	author: 'operator',
	at: '2026-12-01T08:00:00Z',
	changes: [{row: 'customer/gates', against, cells: {weight}}],
});

test('an edit against an older row version is refused for that row', () => {
	const first = foldRecord(createTable(), toLogOffset(0), edit('a', null, '1'));
	const second = foldRecord(first.table, toLogOffset(1), edit('b', 0, '2'));
	const late = foldRecord(second.table, toLogOffset(2), edit('c', 0, '3'));
	expect(second.result?.accepted).toEqual(['customer/gates']);
	expect(late.result?.refused).toEqual([
		{row: 'customer/gates', reason: 'changedSince'},
	]);
	expect([...late.table.rows.values()][0]?.cells.weight).toBe('2');
});

test('a record that is not a valid edit is skipped and counted', () => {
	const {table, result} = foldRecord(createTable(), toLogOffset(0), {bad: 1});
	expect(result).toBeUndefined();
	expect(table.skipped).toBe(1);
	expect(table.next).toBe(1);
});

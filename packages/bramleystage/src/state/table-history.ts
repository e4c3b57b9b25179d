/** Change history of the table: the log's edits with author, time, and each cell before and after. */
import type {LogOffset} from '../protocol/ids.js';
import {editRecordSchema, type RowKey} from '../protocol/table-schema.js';
import {foldRecord, type RefusalReason, type TableSnapshot} from './table.js';
import {type CellChange, compareCells} from './table-diff.js';

/** One row that an edit changes or tries to change. */
export type HistoryEntry = {
	readonly offset: LogOffset;
	readonly author: string;
	/** Time of the edit on the author's clock, ISO 8601. */
	readonly at: string;
	readonly row: RowKey;
	readonly outcome: 'changed' | 'removed' | RefusalReason;
	readonly cells: readonly CellChange[];
};

/** Folds one record and lists the outcome of each of its rows. */
export function foldHistory(
	table: TableSnapshot,
	offset: LogOffset,
	record: unknown,
): {table: TableSnapshot; entries: HistoryEntry[]} {
	const folded = foldRecord(table, offset, record);
	const parsed = editRecordSchema.safeParse(record);
	if (!parsed.success || !folded.result) {
		return {table: folded.table, entries: []};
	}

	const {author, at, changes} = parsed.data;
	const reasons = new Map(
		folded.result.refused.map(({row, reason}) => [row, reason]),
	);
	const entries = changes.map(({row, cells}): HistoryEntry => ({
		offset,
		author,
		at,
		row,
		outcome: reasons.get(row) ?? (cells ? 'changed' : 'removed'),
		cells: compareCells(table.rows.get(row)?.cells ?? {}, cells ?? {}),
	}));
	return {table: folded.table, entries};
}

/**
 * Differences between a file and the table by row and cell: the changes that
 * an import makes, and conflicts in rows that another author changed since the
 * file was exported.
 */
import type {LogOffset} from '../protocol/ids.js';
import type {RowChange, RowKey} from '../protocol/table-schema.js';
import type {CsvTable} from './table-csv.js';
import {findRowVersion, type TableSnapshot} from './table.js';
import type {RowCells} from './table-view.js';

/** One cell before and after a change. */
export type CellChange = {
	readonly column: string;
	readonly before: string;
	readonly after: string;
};

/** A row that another author has changed since the wanted change was based on it. */
export type RowConflict = {
	readonly row: RowKey;
	/** Author of the row's current state; empty for a removed row. */
	readonly theirAuthor: string;
	/** Differing cells: the current value, and the value that this author wants. */
	readonly cells: ReadonlyArray<{
		readonly column: string;
		readonly theirs: string;
		readonly mine: string;
	}>;
	readonly isRemovedByThem: boolean;
	readonly isRemovedByMe: boolean;
};

export type TableDiff = {
	readonly changes: readonly RowChange[];
	readonly conflicts: readonly RowConflict[];
};

/** Computes the changes and conflicts of importing a file into the table. */
export function compareTables(file: CsvTable, table: TableSnapshot): TableDiff {
	const changes: RowChange[] = [];
	const conflicts: RowConflict[] = [];
	for (const {row, version, cells} of file.rows) {
		const current = table.rows.get(row);
		const cellChanges = compareCells(current?.cells ?? {}, cells);
		if (current && cellChanges.length === 0) {
			continue;
		}

		if (version !== undefined && version !== findRowVersion(table, row)) {
			conflicts.push(createRowConflict(table, row, cells));
		} else if (version === undefined && current) {
			conflicts.push(createRowConflict(table, row, cells));
		} else {
			changes.push({
				row,
				against: findRowVersion(table, row),
				cells: Object.fromEntries(
					cellChanges.map(({column, after}) => [column, after]),
				),
			});
		}
	}

	const removed = listRemovedRows(file, table);
	return {
		changes: [
			...changes,
			...removed.map((row) => ({
				row,
				against: findRowVersion(table, row),
				cells: null,
			})),
		],
		conflicts,
	};
}

/** Lists rows that were exported, are unchanged since, and are missing in the file. */
function listRemovedRows(file: CsvTable, table: TableSnapshot): RowKey[] {
	const {exportedAt} = file;
	if (exportedAt === undefined) {
		return [];
	}

	const kept = new Set(file.rows.map(({row}) => row));
	return [...table.rows]
		.filter(([row, {version}]) => version < exportedAt && !kept.has(row))
		.map(([row]) => row);
}

/** Lists the cells of `after` that differ from `before`; a missing cell counts as empty. */
export function compareCells(before: RowCells, after: RowCells): CellChange[] {
	return Object.entries(after)
		.map(([column, value]) => ({
			column,
			before: before[column] ?? '',
			after: value,
		}))
		.filter((change) => change.before !== change.after);
}

/** Describes a conflict between a row's current state and the wanted cells; null removes the row. */
export function createRowConflict(
	table: TableSnapshot,
	row: RowKey,
	wanted: RowCells | null,
): RowConflict {
	const current = table.rows.get(row);
	const differing = compareCells(current?.cells ?? {}, wanted ?? {});
	return {
		row,
		theirAuthor: current?.author ?? '',
		cells: differing.map(({column, before, after}) => ({
			column,
			theirs: before,
			mine: after,
		})),
		isRemovedByThem: current === undefined,
		isRemovedByMe: wanted === null,
	};
}

/** Table offset of a process; undefined if no process has reported it. */
export type ProcessOffset = {
	readonly host: string;
	readonly next: LogOffset | undefined;
};

/** Lists the processes that have not folded, as far as is known, the record at an offset. */
export function listLaggingProcesses(
	processes: readonly ProcessOffset[],
	offset: LogOffset,
): ProcessOffset[] {
	return processes.filter(({next}) => next === undefined || next <= offset);
}

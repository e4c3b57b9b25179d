/**
 * The table as a fold over the records of the platform's log. Every process
 * folds the same records to the same table: an edit is applied row by row, and
 * a row that was changed since the version its author saw is refused at every
 * process alike. A snapshot is immutable; `foldRecord` gives the next one at
 * the cost of the changed rows.
 *
 * A removed row leaves its version behind, and a new row of that name must
 * name it. A second copy of a record, appended because the answer to the first
 * was lost, is recognised by its edit id and changes nothing.
 */
import {type EditId, type LogOffset, toLogOffset} from '../protocol/ids.js';
import {
	cellSchemas,
	type EditRecord,
	editRecordSchema,
	nameSchemas,
	type RowChange,
	type RowKey,
} from '../protocol/table-schema.js';
import {BucketMap} from './bucket-map.js';
import {
	createView,
	parseRowKey,
	type RowCells,
	type UpdatableView,
	updateView,
} from './table-view.js';

/** A row as text, with the record that last changed it. */
export type TableRow = {
	/** Offset of the record that last changed the row. */
	readonly version: LogOffset;
	/** Author of that record. */
	readonly author: string;
	readonly cells: RowCells;
};

export type TableSnapshot = {
	/** Offset of the next record to fold. */
	readonly next: LogOffset;
	readonly rows: BucketMap<RowKey, TableRow>;
	/** Versions of rows that were removed. */
	readonly removed: BucketMap<RowKey, LogOffset>;
	readonly view: UpdatableView;
	/** Offsets of the edits among the last `repeatWindow` records. */
	readonly edits: BucketMap<EditId, LogOffset>;
	/** The same edits by their offset, as text. */
	readonly editAt: BucketMap<string, EditId>;
	/** Records that were no valid edit, skipped at every process alike. */
	readonly skipped: number;
};

/** Why a row of an edit was refused. */
export type RefusalReason = 'changedSince' | 'badCells' | 'keyInUse';

export type RefusedRow = {
	readonly row: RowKey;
	readonly reason: RefusalReason;
};

/** What became of one edit. */
export type EditResult = {
	readonly edit: EditId;
	readonly author: string;
	readonly offset: LogOffset;
	readonly accepted: readonly RowKey[];
	readonly refused: readonly RefusedRow[];
};

/** A second copy of an edit is recognised within this many records. */
export const repeatWindow = 4096;

/** Creates the table before any record. */
export function createTable(): TableSnapshot {
	return {
		next: toLogOffset(0),
		rows: BucketMap.create(),
		removed: BucketMap.create(),
		view: createView(),
		edits: BucketMap.create(),
		editAt: BucketMap.create(),
		skipped: 0,
	};
}

/** Version that a change of a row must be made against; null if it never was. */
export function findRowVersion(
	{rows, removed}: TableSnapshot,
	row: RowKey,
): LogOffset | null {
	return rows.get(row)?.version ?? removed.get(row) ?? null;
}

/**
 * Folds one record; gives what became of it, or nothing for a skipped record
 * or a second copy of an edit.
 */
export function foldRecord(
	table: TableSnapshot,
	offset: LogOffset,
	record: unknown,
): {table: TableSnapshot; result: EditResult | undefined} {
	const parsed = editRecordSchema.safeParse(record);
	const next = toLogOffset(offset + 1);
	const kept = removeOldEdit({...table, next}, offset);
	if (!parsed.success) {
		return {table: {...kept, skipped: kept.skipped + 1}, result: undefined};
	}

	const {edit} = parsed.data;
	if (kept.edits.has(edit)) {
		return {table: kept, result: undefined};
	}

	const remembered = {
		...kept,
		edits: kept.edits.apply([[edit, offset]]),
		editAt: kept.editAt.apply([[String(offset), edit]]),
	};
	return foldEdit(remembered, offset, parsed.data);
}

/** Forgets the edit that leaves the window at an offset. */
function removeOldEdit(table: TableSnapshot, offset: LogOffset): TableSnapshot {
	const oldest = String(offset - repeatWindow);
	const edit = table.editAt.get(oldest);
	return edit === undefined
		? table
		: {
				...table,
				edits: table.edits.apply([[edit, undefined]]),
				editAt: table.editAt.apply([[oldest, undefined]]),
			};
}

function foldEdit(
	table: TableSnapshot,
	offset: LogOffset,
	{edit, author, changes}: EditRecord,
): {table: TableSnapshot; result: EditResult} {
	const accepted = new Map<RowKey, RowCells | undefined>();
	const refused: RefusedRow[] = [];
	const keys = new Map<string, RowKey>();
	for (const change of changes) {
		const decided = accepted.has(change.row)
			? 'changedSince'
			: decideChange(table, change, keys);
		if (typeof decided === 'string') {
			refused.push({row: change.row, reason: decided});
			continue;
		}

		accepted.set(change.row, decided.cells);
		const digest = decided.cells?.key_sha256 ?? '';
		if (digest !== '') {
			keys.set(digest, change.row);
		}
	}

	return {
		table: {
			...table,
			rows: table.rows.apply(
				[...accepted].map(([row, cells]) => [
					row,
					cells && {version: offset, author, cells},
				]),
			),
			removed: table.removed.apply(
				[...accepted].map(([row, cells]) => [row, cells ? undefined : offset]),
			),
			view: updateView(table.view, accepted),
		},
		result: {edit, author, offset, accepted: [...accepted.keys()], refused},
	};
}

/** Decides one row against the table before the edit. */
function decideChange(
	table: TableSnapshot,
	change: RowChange,
	keys: ReadonlyMap<string, RowKey>,
): RefusalReason | {readonly cells: RowCells | undefined} {
	if (findRowVersion(table, change.row) !== change.against) {
		return 'changedSince';
	}

	if (change.cells === null) {
		return table.rows.has(change.row) ? {cells: undefined} : 'changedSince';
	}

	const cells = {...table.rows.get(change.row)?.cells, ...change.cells};
	const {kind, name} = parseRowKey(change.row);
	if (
		!nameSchemas[kind].safeParse(name).success ||
		!cellSchemas[kind].safeParse(cells).success
	) {
		return 'badCells';
	}

	const digest = kind === 'customer' ? (cells.key_sha256 ?? '') : '';
	const owner = table.view.customerOfKey.get(digest);
	const isTaken =
		keys.has(digest) || (owner !== undefined && owner !== (name as never));
	return digest !== '' && isTaken ? 'keyInUse' : {cells};
}

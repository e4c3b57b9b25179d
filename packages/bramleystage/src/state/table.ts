/**
 * The operators' table as a fold over the records of the platform's log. The
 * fold is deterministic: every process that folds the same records gets the
 * same table. An edit is applied row by row; a change based on an outdated row
 * version is refused, at all processes alike. A snapshot is immutable, and
 * `foldRecord` derives the next one at the cost of the changed rows.
 *
 * A removed row leaves a tombstone with its version, and a new row of the same
 * key must be based on that version. A second copy of a record, appended because
 * the answer to the first append was lost, has the same edit id and is ignored.
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
	createTableView,
	parseRowKey,
	type RowCells,
	type UpdatableTableView,
	updateTableView,
} from './table-view.js';

/** A row's cells as text, with version and author of its last change. */
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
	/** Tombstones: versions of removed rows. */
	readonly removed: BucketMap<RowKey, LogOffset>;
	readonly view: UpdatableTableView;
	/** Offsets of the edits in the window for recognising second copies. */
	readonly edits: BucketMap<EditId, LogOffset>;
	/** The same edits by offset; the keys are offsets as text. */
	readonly editAt: BucketMap<string, EditId>;
	/** Number of records skipped because they were no valid edit; the same at all processes. */
	readonly skipped: number;
};

/** Why a row of an edit was refused. */
export type RefusalReason = 'changedSince' | 'badCells' | 'keyInUse';

export type RefusedRow = {
	readonly row: RowKey;
	readonly reason: RefusalReason;
};

/** Outcome of one edit. */
export type EditResult = {
	readonly edit: EditId;
	readonly author: string;
	readonly offset: LogOffset;
	readonly accepted: readonly RowKey[];
	readonly refused: readonly RefusedRow[];
};

/** Number of records within which a second copy of an edit is recognised. */
export const duplicateWindowRecords = 4096;

/** Creates an empty table. */
export function createTable(): TableSnapshot {
	return {
		next: toLogOffset(0),
		rows: BucketMap.create(),
		removed: BucketMap.create(),
		view: createTableView(),
		edits: BucketMap.create(),
		editAt: BucketMap.create(),
		skipped: 0,
	};
}

/** Returns the version that a change of a row must be based on; null if the row never existed. */
export function findRowVersion(
	{rows, removed}: TableSnapshot,
	row: RowKey,
): LogOffset | null {
	return rows.get(row)?.version ?? removed.get(row) ?? null;
}

/**
 * Folds one record. The result is undefined for a skipped record and for a
 * second copy of an edit.
 */
export function foldRecord(
	table: TableSnapshot,
	offset: LogOffset,
	record: unknown,
): {table: TableSnapshot; result: EditResult | undefined} {
	const parsed = editRecordSchema.safeParse(record);
	const next = toLogOffset(offset + 1);
	const pruned = removeExpiredEdit({...table, next}, offset);
	if (!parsed.success) {
		return {table: {...pruned, skipped: pruned.skipped + 1}, result: undefined};
	}

	const {edit} = parsed.data;
	if (pruned.edits.has(edit)) {
		return {table: pruned, result: undefined};
	}

	const withEdit = {
		...pruned,
		edits: pruned.edits.apply([[edit, offset]]),
		editAt: pruned.editAt.apply([[String(offset), edit]]),
	};
	return foldEdit(withEdit, offset, parsed.data);
}

/** Removes the edit that falls out of the window of second copies at an offset. */
function removeExpiredEdit(
	table: TableSnapshot,
	offset: LogOffset,
): TableSnapshot {
	const expiredOffset = String(offset - duplicateWindowRecords);
	const edit = table.editAt.get(expiredOffset);
	return edit === undefined
		? table
		: {
				...table,
				edits: table.edits.apply([[edit, undefined]]),
				editAt: table.editAt.apply([[expiredOffset, undefined]]),
			};
}

function foldEdit(
	table: TableSnapshot,
	offset: LogOffset,
	{edit, author, changes}: EditRecord,
): {table: TableSnapshot; result: EditResult} {
	const accepted = new Map<RowKey, RowCells | undefined>();
	const refused: RefusedRow[] = [];
	const assignedDigests = new Map<string, RowKey>();
	for (const change of changes) {
		const decision = accepted.has(change.row)
			? 'changedSince'
			: decideChange(table, change, assignedDigests);
		if (typeof decision === 'string') {
			refused.push({row: change.row, reason: decision});
			continue;
		}

		accepted.set(change.row, decision.cells);
		const digest = decision.cells?.key_sha256 ?? '';
		if (digest !== '') {
			assignedDigests.set(digest, change.row);
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
			view: updateTableView(table.view, accepted),
		},
		result: {edit, author, offset, accepted: [...accepted.keys()], refused},
	};
}

/**
 * Checks one row's change against the table before the edit. `assignedDigests`
 * has the keys that the edit's earlier rows assign.
 */
function decideChange(
	table: TableSnapshot,
	change: RowChange,
	assignedDigests: ReadonlyMap<string, RowKey>,
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
		assignedDigests.has(digest) ||
		(owner !== undefined && owner !== (name as never));
	return digest !== '' && isTaken ? 'keyInUse' : {cells};
}

/**
 * Snapshots of the table: splits a table into parts that carry a digest of the
 * complete table, and restores a table from parts after checking the digest.
 */
import {createHash} from 'node:crypto';
import type {EditId, LogOffset} from '../protocol/ids.js';
import {
	type SnapshotPart,
	snapshotPartRows,
	type SnapshotRow,
} from '../protocol/table-snapshot-schema.js';
import {cellSchemas} from '../protocol/table-schema.js';
import {createTable, type TableSnapshot} from './table.js';
import {parseRowKey, updateTableView} from './table-view.js';

/** Lists a table's rows and tombstones of removed rows, ordered by key. */
export function listSnapshotRows(table: TableSnapshot): SnapshotRow[] {
	const rows = [...table.rows].map(([row, {version, author, cells}]) => ({
		row,
		version,
		author,
		cells: {...cells},
	}));
	const removed = [...table.removed].map(([row, version]) => ({
		row,
		version,
		author: '',
		cells: null,
	}));
	return [...rows, ...removed].toSorted((a, b) => compareText(a.row, b.row));
}

/** Computes the SHA-256 digest of a table; equal tables have equal digests. */
export function computeTableDigest(table: TableSnapshot): string {
	return computeDigest({
		next: table.next,
		skipped: table.skipped,
		edits: listEdits(table),
		rows: listSnapshotRows(table),
	});
}

/** Splits a table into the parts of a snapshot. */
export function createSnapshotParts(table: TableSnapshot): SnapshotPart[] {
	const rows = listSnapshotRows(table);
	const {next, skipped} = table;
	const edits = listEdits(table);
	const digest = computeDigest({next, skipped, edits, rows});
	const parts = Math.max(1, Math.ceil(rows.length / snapshotPartRows));
	return Array.from({length: parts}, (_, part) => ({
		kind: 'snapshot',
		format: 1,
		next,
		skipped,
		digest,
		part,
		parts,
		edits: part === 0 ? edits : [],
		rows: rows.slice(part * snapshotPartRows, (part + 1) * snapshotPartRows),
	}));
}

/** Parts received of incomplete snapshots, by snapshot. */
export type CollectedSnapshotParts = ReadonlyMap<
	string,
	readonly SnapshotPart[]
>;

/**
 * Adds one part. Returns the table once all parts are present and the digest
 * matches; a complete snapshot with another digest is dropped.
 */
export function addSnapshotPart(
	collected: CollectedSnapshotParts,
	part: SnapshotPart,
): {collected: CollectedSnapshotParts; table: TableSnapshot | undefined} {
	const key = `${part.next}/${part.digest}/${part.parts}`;
	const known = collected.get(key) ?? [];
	const parts = [...known.filter((each) => each.part !== part.part), part];
	const pending = new Map(collected);
	if (parts.length < part.parts) {
		pending.set(key, parts);
		return {collected: pending, table: undefined};
	}

	pending.delete(key);
	return {collected: pending, table: restoreTable(parts)};
}

/** Restores a table from all parts of a snapshot; undefined if a row is invalid or the digest differs. */
export function restoreTable(
	parts: readonly SnapshotPart[],
): TableSnapshot | undefined {
	const ordered = parts.toSorted((a, b) => a.part - b.part);
	const [first] = ordered;
	const rows = ordered.flatMap((part) => part.rows);
	if (!first || !rows.every((row) => isValidRow(row))) {
		return undefined;
	}

	const {next, skipped, digest} = first;
	const edits = ordered.flatMap((part) => part.edits);
	if (computeDigest({next, skipped, edits, rows}) !== digest) {
		return undefined;
	}

	const empty = createTable();
	return {
		next,
		skipped,
		rows: empty.rows.apply(
			rows.map(({row, version, author, cells}) => [
				row,
				cells ? {version, author, cells} : undefined,
			]),
		),
		removed: empty.removed.apply(
			rows.map(({row, version, cells}) => [row, cells ? undefined : version]),
		),
		view: updateTableView(
			empty.view,
			new Map(rows.map(({row, cells}) => [row, cells ?? undefined])),
		),
		edits: empty.edits.apply(edits.map(([offset, edit]) => [edit, offset])),
		editAt: empty.editAt.apply(
			edits.map(([offset, edit]) => [String(offset), edit]),
		),
	};
}

function isValidRow({row, cells}: SnapshotRow): boolean {
	const {kind} = parseRowKey(row);
	return cells === null || cellSchemas[kind].safeParse(cells).success;
}

function listEdits(table: TableSnapshot): SnapshotPart['edits'] {
	return [...table.edits]
		.map(([edit, offset]): [LogOffset, EditId] => [offset, edit])
		.toSorted(([a], [b]) => a - b);
}

function computeDigest({
	next,
	skipped,
	edits,
	rows,
}: Pick<SnapshotPart, 'next' | 'skipped' | 'edits' | 'rows'>): string {
	const hash = createHash('sha256').update(
		JSON.stringify([next, skipped, edits]),
	);
	for (const {row, version, author, cells} of rows) {
		const ordered =
			cells && Object.entries(cells).toSorted(([a], [b]) => compareText(a, b));
		hash.update(JSON.stringify([row, version, author, ordered]));
	}

	return hash.digest('hex');
}

const compareText = (a: string, b: string) => Number(a > b) - Number(a < b);

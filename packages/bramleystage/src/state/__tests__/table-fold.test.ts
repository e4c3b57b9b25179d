import fc from 'fast-check';
import {expect, test} from 'vitest';
import {type LogOffset, toLogOffset} from '../../protocol/ids.js';
import {snapshotPartSchema} from '../../protocol/table-snapshot-schema.js';
import {
	addSnapshotPart,
	type CollectedSnapshotParts,
	computeTableDigest,
	createSnapshotParts,
	restoreTable,
} from '../table-snapshot.js';
import {createTable, foldRecord, type TableSnapshot} from '../table.js';
import {createTableView, updateTableView} from '../table-view.js';

const digest = (seed: number) => seed.toString(16).padStart(64, '0');

const cells = fc.oneof(
	fc.constant(null),
	fc.record({weight: fc.constantFrom('1', '2', '', '-3', 'x')}),
	fc.record({key_sha256: fc.nat(3).map((seed) => digest(seed))}),
	fc.constant({colour: 'red'}),
);
const change = fc.record({
	row: fc.constantFrom('customer/a', 'customer/b', 'customer/ç', 'model/m'),
	against: fc.option(fc.nat(12), {nil: null}),
	cells,
});
const edit = fc.record({
	kind: fc.constant('edit'),
	format: fc.constantFrom(1, 1, 1, 1, 2),
	edit: fc.uuid(),
	author: fc.constantFrom('Ayşe', 'Bob'),
	at: fc.constant(''),
	changes: fc.array(change, {minLength: 1, maxLength: 4}),
});
const records = fc.array(
	fc.oneof({weight: 9, arbitrary: edit}, fc.anything()),
	{
		maxLength: 30,
	},
);

/** Returns the table after each prefix of a log. */
function foldPrefixes(log: readonly unknown[]): TableSnapshot[] {
	let table = createTable();
	const tables = [table];
	for (const [offset, record] of log.entries()) {
		({table} = foldRecord(table, toLogOffset(offset), record));
		tables.push(table);
	}

	return tables;
}

test('reading from the log and restoring snapshots of peers in any order gives the table of the same log prefix', () => {
	const sources = fc.array(
		fc.record({kind: fc.constantFrom('log', 'peer'), maxOffset: fc.nat(30)}),
		{maxLength: 10},
	);
	fc.assert(
		fc.property(records, sources, (log, steps) => {
			const tables = foldPrefixes(log);
			let table = createTable();
			for (const {kind, maxOffset} of steps) {
				const end = Math.min(maxOffset, log.length);
				const before = table;
				if (kind === 'log') {
					for (let {next} = table; next < end; next = table.next) {
						({table} = foldRecord(table, next, log[next]));
					}
				} else if (end > table.next) {
					const parts = createSnapshotParts(tables[end] ?? table);
					table = restoreTable(parts) ?? table;
				}

				expect(table.next).toBeGreaterThanOrEqual(before.next);
				for (const [row, {version}] of before.rows) {
					const now = table.rows.get(row)?.version ?? table.removed.get(row);
					expect(now).toBeGreaterThanOrEqual(version);
				}
			}

			const same = tables[table.next] ?? createTable();
			expect(computeTableDigest(table)).toBe(computeTableDigest(same));
			expect(new Map(table.view.customers)).toEqual(
				new Map(same.view.customers),
			);
			expect(new Map(table.view.customerOfKey)).toEqual(
				new Map(same.view.customerOfKey),
			);
		}),
		{seed: 6, numRuns: 500},
	);
});

test('the incrementally updated view equals the view built from all rows at once', () => {
	fc.assert(
		fc.property(records, (log) => {
			const {rows, view} = foldPrefixes(log).at(-1) ?? createTable();
			const built = updateTableView(
				createTableView(),
				new Map([...rows].map(([key, row]) => [key, row.cells])),
			);
			expect(new Map(view.customers)).toEqual(new Map(built.customers));
			expect(new Map(view.models)).toEqual(new Map(built.models));
			expect(new Map(view.customerOfKey)).toEqual(new Map(built.customerOfKey));
		}),
		{seed: 7, numRuns: 300},
	);
});

test('the second copy of a record in the log changes nothing', () => {
	fc.assert(
		fc.property(records, fc.nat(29), (log, picked) => {
			const last = foldPrefixes(log).at(-1) ?? createTable();
			const repeated = log[Math.min(picked, log.length - 1)];
			const {table} = foldRecord(last, last.next, repeated);
			expect(new Map(table.rows)).toEqual(new Map(last.rows));
			expect(new Map(table.removed)).toEqual(new Map(last.removed));
		}),
		{seed: 8, numRuns: 500},
	);
});

let edits = 0;
const createEdit = (
	changes: Array<{
		row: string;
		against: number | null;
		cells: Record<string, string> | null;
	}>,
) => ({
	kind: 'edit',
	format: 1,
	edit: `edit-${edits++}`,
	author: 'Ayşe',
	at: '',
	changes,
});

test('a copy of the edit that created a row does not restore it after its removal', () => {
	const made = createEdit([
		{row: 'customer/a', against: null, cells: {weight: '1'}},
	]);
	const removed = createEdit([{row: 'customer/a', against: 0, cells: null}]);
	const last = foldPrefixes([made, removed])[2];
	const copy = {...made, edit: 'another'};
	const {table, result} = foldRecord(
		last ?? createTable(),
		toLogOffset(2),
		copy,
	);
	expect(result?.refused).toEqual([
		{row: 'customer/a', reason: 'changedSince'},
	]);
	expect(table.rows.size).toBe(0);
	const again = createEdit([
		{row: 'customer/a', against: 1, cells: {weight: '1'}},
	]);
	const renewed = foldRecord(table, toLogOffset(3), again);
	expect(renewed.result?.accepted).toEqual(['customer/a']);
});

test('a key cannot be assigned to a second customer', () => {
	const key_sha256 = digest(1);
	const log = [
		createEdit([{row: 'customer/a', against: null, cells: {key_sha256}}]),
		createEdit([{row: 'customer/b', against: null, cells: {key_sha256}}]),
	];
	const [, first] = foldPrefixes(log);
	const {result} = foldRecord(first ?? createTable(), toLogOffset(1), log[1]);
	expect(result?.refused).toEqual([{row: 'customer/b', reason: 'keyInUse'}]);
});

test('a snapshot with a changed cell is rejected', () => {
	const [, table] = foldPrefixes([
		createEdit([{row: 'customer/a', against: null, cells: {weight: '1'}}]),
	]);
	const [part] = createSnapshotParts(table ?? createTable());
	const forged = snapshotPartSchema.parse(
		JSON.parse(JSON.stringify(part).replace('"1"', '"2"')),
	);
	expect(restoreTable([forged])).toBeUndefined();
});

test('parts are joined in any order, even if those of two snapshots are mixed', () => {
	const rows = Array.from({length: 5000}, (_, index) => ({
		row: `customer/${index}`,
		against: null,
		cells: {weight: '1'},
	}));
	const tables = foldPrefixes([
		createEdit(rows),
		createEdit([{row: 'customer/7', against: 0, cells: {weight: '2'}}]),
	]);
	const parts = tables
		.slice(1)
		.flatMap((table) => createSnapshotParts(table))
		.toReversed();
	let collected: CollectedSnapshotParts = new Map();
	const restored: LogOffset[] = [];
	for (const part of parts) {
		const added = addSnapshotPart(collected, part);
		collected = added.collected;
		if (added.table) {
			restored.push(added.table.next);
		}
	}

	expect(restored).toEqual([2, 1]);
	expect(collected.size).toBe(0);
});

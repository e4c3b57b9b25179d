import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toLogOffset} from '../../protocol/ids.js';
import {formatCsv, parseCsv} from '../table-csv.js';
import {compareTables} from '../table-diff.js';
import {formatTableError} from '../table-validation.js';
import {createTable, foldRecord, type TableSnapshot} from '../table.js';

type Row = {row: string; cells: Record<string, string> | null};

const applyChanges = (table: TableSnapshot, changes: Row[], author = 'Ayşe') =>
	foldRecord(table, table.next, {
		kind: 'edit',
		format: 1,
		edit: `edit-${table.next}`,
		author,
		at: '',
		changes: changes.map(({row, cells}) => ({
			row,
			against: table.rows.get(row as never)?.version ?? null,
			cells,
		})),
	}).table;

const parse = (text: string) => parseCsv(text)._unsafeUnwrap();
const listErrors = (text: string) =>
	parseCsv(text)
		._unsafeUnwrapErr()
		.map((error) => formatTableError(error));

const sample = () =>
	applyChanges(createTable(), [
		{row: 'customer/İzmir Kapıları; "ana"', cells: {weight: '2.5'}},
		{row: 'customer/çarşı', cells: {weight: '1', priority: '3'}},
		{row: 'service/gişe', cells: {idempotent_paths: '/a /b,c'}},
	]);

test('importing an unmodified export changes nothing', () => {
	const table = sample();
	expect(compareTables(parse(formatCsv(table)), table)).toEqual({
		changes: [],
		conflicts: [],
	});
});

test('any names and cells are preserved by an export and an import', () => {
	const name = fc
		.string({unit: 'grapheme', minLength: 1, maxLength: 20})
		.filter(
			(text) => /^[^\s\p{C}]+$/v.test(text) && text === text.normalize('NFC'),
		);
	fc.assert(
		fc.property(fc.uniqueArray(name), (names) => {
			const table = applyChanges(
				createTable(),
				names.map((each) => ({
					row: `model/${each}`,
					cells: {version: `v "${each}",;`},
				})),
			);
			const {changes, conflicts} = compareTables(
				parse(formatCsv(table)),
				table,
			);
			expect([...changes, ...conflicts]).toEqual([]);
		}),
		{seed: 9, numRuns: 200},
	);
});

test('a file with semicolons and reordered columns is parsed', () => {
	const text =
		'\u{FEFF}Weight;name;KIND;unused_by_services\r\n2;"Kale; kapısı";Customer;\r\n;;;\r\n'.replace(
			';unused_by_services',
			';',
		);
	expect(parse(text).rows).toEqual([
		{row: 'customer/Kale; kapısı', version: undefined, cells: {weight: '2'}},
	]);
});

test('a name in decomposed Unicode form is the same row as in composed form', () => {
	const [row] = parse(`kind,name\ncustomer,${'çarşı'.normalize('NFD')}\n`).rows;
	expect(row?.row).toBe('customer/çarşı');
});

test('all errors are listed with row, column, value and rule', () => {
	const text = [
		'kind,name,weight,layers,key_sha256',
		'customer,a,"1,5",,',
		'customer,b,1e3,24,',
		'model,m,0,2.5,',
		'planet,x,,,',
		'customer,a,,,',
	].join('\n');
	expect(listErrors(text)).toEqual([
		'customer/a: weight is "1,5", but must be a number above 0, at most 1000000; write 1.5 with a point',
		'customer/b: weight is "1e3", but must be a number above 0, at most 1000000',
		'customer/b: layers is "24", but must be empty: a customer has no such column',
		'model/m: weight is "0", but must be a number above 0, at most 1000000',
		'model/m: layers is "2.5", but must be a whole number from 1 to 10000',
		'line 5: name is "planet/x", but must be customer/, service/ or model/ and a name of 1 to 200 characters',
	]);
	expect(listErrors('kind,name\ncustomer,a\ncustomer,a\n')).toEqual([
		'customer/a: name is "customer/a", but must be in the file only once',
	]);
	expect(listErrors('name,wieght\na,1\n')).toEqual([
		'header: column is "wieght", but must be a known column',
		'header: kind is "", but must be there',
	]);
});

test('a row deleted in the file is removed, one added to the table after the export stays', () => {
	const exported = sample();
	const file = parse(
		formatCsv(exported)
			.split('\r\n')
			.filter((line) => !line.includes('çarşı'))
			.join('\r\n'),
	);
	const later = applyChanges(exported, [
		{row: 'customer/yeni', cells: {weight: '1'}},
	]);
	expect(compareTables(file, later)).toEqual({
		changes: [{row: 'customer/çarşı', against: 0, cells: null}],
		conflicts: [],
	});
});

test('a conflict has the values of both authors for each differing cell', () => {
	const exported = sample();
	const file = parse(
		formatCsv(exported).replace(
			'customer,çarşı,0,,1,3',
			'customer,çarşı,0,,7,3',
		),
	);
	const later = applyChanges(
		exported,
		[{row: 'customer/çarşı', cells: {weight: '9'}}],
		'Bob',
	);
	expect(compareTables(file, later).conflicts).toEqual([
		{
			row: 'customer/çarşı',
			theirAuthor: 'Bob',
			cells: [{column: 'weight', theirs: '9', mine: '7'}],
			isRemovedByThem: false,
			isRemovedByMe: false,
		},
	]);
});

test('the header has the offset of the export', () => {
	expect(parse(formatCsv(sample())).exportedAt).toBe(toLogOffset(1));
});

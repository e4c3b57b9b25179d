/**
 * Reads and writes the table as CSV in the dialects of spreadsheets: separated
 * by commas, semicolons or tabs, with or without a byte order mark, quoted, with
 * either line ending, and with the columns in any order. An export has its log
 * offset in the header (`row_version@123`), so that an import can distinguish a
 * row deleted in the spreadsheet from one added to the table after the export.
 */
import {err, ok, type Result} from 'neverthrow';
import papaparse from 'papaparse';
import {type LogOffset, toLogOffset} from '../protocol/ids.js';
import {columnNames, tableColumns} from '../protocol/table-columns.js';
import type {RowKey, RowKind} from '../protocol/table-schema.js';
import type {TableSnapshot} from './table.js';
import {
	type TableError,
	validateCells,
	validateRowKey,
} from './table-validation.js';
import {parseRowKey, type RowCells} from './table-view.js';

/** A parsed row of a file. */
export type CsvRow = {
	readonly row: RowKey;
	/** Version of the row at the export; undefined for a new row. */
	readonly version: LogOffset | undefined;
	readonly cells: RowCells;
};

export type CsvTable = {
	/** Log offset of the export, if the header has one. */
	readonly exportedAt: LogOffset | undefined;
	readonly rows: readonly CsvRow[];
};

const versionHeader = /^row_version(?:@(?<offset>\d{1,15}))?$/v;
const delimiters = [',', ';', '\t'] as const;
const kinds: readonly RowKind[] = ['customer', 'service', 'model'];

/** Formats a table as CSV, its rows ordered by kind and name. */
export function formatCsv({rows, next}: TableSnapshot): string {
	const header = ['kind', 'name', `row_version@${next}`, ...columnNames];
	const lines = listOrderedRows(rows).map(([key, {version, cells}]) => {
		const {kind, name} = parseRowKey(key);
		return [
			kind,
			name,
			String(version),
			...columnNames.map((column) => cells[column] ?? ''),
		];
	});
	// Without the byte order mark, spreadsheets assume another encoding than UTF-8.
	return `\u{FEFF}${papaparse.unparse([header, ...lines])}\r\n`;
}

/** Lists rows by kind and name. */
export function listOrderedRows<Row>(
	rows: ReadonlyMap<RowKey, Row>,
): Array<[RowKey, Row]> {
	const findKindIndex = (key: RowKey) => kinds.indexOf(parseRowKey(key).kind);
	return [...rows].toSorted(
		([a], [b]) =>
			findKindIndex(a) - findKindIndex(b) || Number(a > b) - Number(a < b),
	);
}

/** Parses and validates a file; returns all errors. */
export function parseCsv(content: string): Result<CsvTable, TableError[]> {
	const text = content.replace(/^\u{FEFF}/v, '');
	const [firstLine = ''] = text.split(/\r?\n/v, 1);
	const parsed = papaparse.parse<string[]>(text, {
		delimiter: pickDelimiter(firstLine),
		skipEmptyLines: 'greedy',
	});
	const [header = [], ...lines] = parsed.data;
	const columns = header.map((cell) => cell.trim().toLowerCase());
	const errors = [
		...parsed.errors.map(({row, message}) =>
			createFileError(`line ${(row ?? 0) + 1}`, 'file', '', message),
		),
		...checkHeader(columns),
	];
	if (errors.length > 0) {
		return err(errors);
	}

	const rows = lines.map((line, index) =>
		parseLine(columns, line, `line ${index + 2}`),
	);
	const rowErrors = rows.flatMap((row) => (Array.isArray(row) ? row : []));
	const validRows = rows.filter((row): row is CsvRow => !Array.isArray(row));
	const allErrors = [...rowErrors, ...listDuplicates(validRows)];
	return allErrors.length > 0
		? err(allErrors)
		: ok({exportedAt: findExportOffset(columns), rows: validRows});
}

/** Picks the delimiter that occurs most often in the header. */
function pickDelimiter(header: string): string {
	const count = (delimiter: string) => header.split(delimiter).length;
	const [most = ','] = delimiters.toSorted((a, b) => count(b) - count(a));
	return most;
}

function checkHeader(columns: readonly string[]): TableError[] {
	const isKnown = (column: string) =>
		['kind', 'name', ''].includes(column) ||
		versionHeader.test(column) ||
		columnNames.includes(column);
	const unknown = columns
		.filter((column) => !isKnown(column))
		.map((column) =>
			createFileError('header', 'column', column, 'a known column'),
		);
	const missing = ['kind', 'name']
		.filter((column) => !columns.includes(column))
		.map((column) => createFileError('header', column, '', 'there'));
	const repeated = columns
		.filter(
			(column, index) => column !== '' && columns.indexOf(column) !== index,
		)
		.map((column) =>
			createFileError('header', 'column', column, 'there only once'),
		);
	return [...unknown, ...missing, ...repeated];
}

function parseLine(
	columns: readonly string[],
	line: readonly string[],
	place: string,
): CsvRow | TableError[] {
	const cells: Record<string, string> = {};
	let kind = '';
	let name = '';
	let version = '';
	const errors: TableError[] = [];
	for (const [index, cell] of line.entries()) {
		const column = columns[index] ?? '';
		const value = cell.trim();
		if (column === 'kind') {
			kind = value.toLowerCase();
		} else if (column === 'name') {
			name = value;
		} else if (versionHeader.test(column)) {
			version = value;
		} else if (column !== '') {
			cells[column] = value;
		} else if (value !== '') {
			errors.push(
				createFileError(place, `cell ${index + 1}`, value, 'under a column'),
			);
		}
	}

	const row = validateRowKey(`${kind}/${name}`);
	if (typeof row !== 'string') {
		return [...errors, {...row, row: place}];
	}

	if (!/^\d{0,15}$/v.test(version)) {
		const rule = 'as it was exported, or empty for a new row';
		errors.push({row, column: 'row_version', value: version, rule});
	}

	errors.push(...validateCells(row, cells));
	return errors.length > 0
		? errors
		: {
				row,
				version: version === '' ? undefined : toLogOffset(Number(version)),
				cells: selectColumns(row, cells),
			};
}

/** Omits the columns that the row's kind does not have. */
function selectColumns(row: RowKey, cells: RowCells): RowCells {
	const columns = tableColumns[parseRowKey(row).kind];
	return Object.fromEntries(
		Object.entries(cells).filter(([column]) => column in columns),
	);
}

/** Lists rows and key digests that occur more than once in a file. */
function listDuplicates(rows: readonly CsvRow[]): TableError[] {
	const seenRows = new Set<string>();
	const seenDigests = new Set<string>();
	return rows.flatMap(({row, cells}) => {
		const {key_sha256: digest = ''} = cells;
		const errors: TableError[] = [];
		if (seenRows.has(row)) {
			const rule = 'in the file only once';
			errors.push({row, column: 'name', value: row, rule});
		}

		if (digest !== '' && seenDigests.has(digest)) {
			const rule = 'used by no other customer';
			errors.push({row, column: 'key_sha256', value: digest, rule});
		}

		seenRows.add(row);
		seenDigests.add(digest);
		return errors;
	});
}

function findExportOffset(columns: readonly string[]): LogOffset | undefined {
	for (const column of columns) {
		const offset = versionHeader.exec(column)?.groups?.offset;
		if (offset !== undefined) {
			return toLogOffset(Number(offset));
		}
	}

	return undefined;
}

const createFileError = (
	row: string,
	column: string,
	value: string,
	rule: string,
): TableError => ({row, column, value, rule});

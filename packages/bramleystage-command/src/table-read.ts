/** `table show`, `table export` and `table history`. */
import {
	createTable,
	foldHistory,
	formatCsv,
	listOrderedRows,
	type PlatformClient,
	readSnapshot,
	tableStream,
} from 'bramleystage';
import type {TableDesk} from './table-desk.js';
import {formatHistoryEntry} from './table-print.js';
import {type TableExitCode, tableExitCodes} from './table-write.js';

export type ReadOptions = {
	readonly desk: TableDesk;
	readonly print: (line: string) => void;
	/** Rows whose key begins with this are shown; all if it is empty. */
	readonly prefix: string;
};

/** Shows the rows with their cells. */
export async function runShow(options: ReadOptions): Promise<TableExitCode> {
	const table = await options.desk.readTable();
	if (table.isErr()) {
		options.print(table.error.detail);
		return tableExitCodes.failed;
	}

	const {rows, next, skipped} = table.value;
	for (const [row, {version, author, cells}] of listOrderedRows(rows)) {
		if (row.startsWith(options.prefix)) {
			options.print(`${row}  (version ${version}, ${author})`);
			for (const [column, value] of Object.entries(cells)) {
				if (value !== '') {
					options.print(`  ${column}: ${value}`);
				}
			}
		}
	}

	options.print(`${rows.size} rows, offset ${next}, skipped ${skipped}`);
	return tableExitCodes.inForce;
}

/** Prints the table as CSV. */
export async function runExport(
	options: Pick<ReadOptions, 'desk' | 'print'> & {
		readonly write: (csv: string) => Promise<void>;
	},
): Promise<TableExitCode> {
	const table = await options.desk.readTable();
	if (table.isErr()) {
		options.print(table.error.detail);
		return tableExitCodes.failed;
	}

	await options.write(formatCsv(table.value));
	return tableExitCodes.inForce;
}

/** Prints who changed what and when, as far back as the log keeps records. */
export async function runHistory(options: ReadOptions): Promise<TableExitCode> {
	const {print, prefix, desk} = options;
	const start = await findHistoryStart(desk.platform);
	let {table} = start;
	if (start.isCut) {
		print(`Records before offset ${table.next} have expired.`);
	}

	/* eslint-disable no-await-in-loop -- each read starts where the last ended */
	for (;;) {
		const batch = await desk.platform.readRecords(tableStream, table.next);
		if (batch.isErr()) {
			print(batch.error.detail);
			return tableExitCodes.failed;
		}

		if (batch.value.records.length === 0) {
			return tableExitCodes.inForce;
		}

		for (const {offset, value} of batch.value.records) {
			const folded = foldHistory(table, offset, value);
			table = folded.table;
			for (const entry of folded.entries) {
				if (entry.row.startsWith(prefix)) {
					print(formatHistoryEntry(entry));
				}
			}
		}
	}
	/* eslint-enable no-await-in-loop */
}

/** The table before the oldest record that can be folded. */
async function findHistoryStart(platform: PlatformClient) {
	const empty = createTable();
	const batch = await platform.readRecords(tableStream, empty.next);
	if (batch.isErr() || batch.value.first === 0) {
		return {table: empty, isCut: false};
	}

	const found = await readSnapshot(platform);
	const table = found.isOk() ? (found.value.table ?? empty) : empty;
	return {table, isCut: true};
}

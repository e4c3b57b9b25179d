/** The subcommands that read the table: `table show`, `table export` and `table history`. */
import {
	createTable,
	foldHistory,
	formatCsv,
	listOrderedRows,
	type PlatformClient,
	readNewestSnapshot,
	tableStream,
} from 'bramleystage';
import type {TableClient} from './table-client.js';
import {formatHistoryEntry} from './table-print.js';
import {type TableExitCode, tableExitCodes} from './table-write.js';

export type ReadOptions = {
	readonly tableClient: TableClient;
	readonly print: (line: string) => void;
	/** Only rows whose key starts with this prefix are shown; all rows if it is empty. */
	readonly prefix: string;
};

/** Prints the rows with their version, author and non-empty cells. */
export async function runShow(options: ReadOptions): Promise<TableExitCode> {
	const table = await options.tableClient.readTable();
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

/** Writes the table as CSV. */
export async function runExport(
	options: Pick<ReadOptions, 'tableClient' | 'print'> & {
		readonly write: (csv: string) => Promise<void>;
	},
): Promise<TableExitCode> {
	const table = await options.tableClient.readTable();
	if (table.isErr()) {
		options.print(table.error.detail);
		return tableExitCodes.failed;
	}

	await options.write(formatCsv(table.value));
	return tableExitCodes.inForce;
}

/** Prints every row change that the log still holds, with its author, time and outcome. */
export async function runHistory(options: ReadOptions): Promise<TableExitCode> {
	const {print, prefix, tableClient} = options;
	const start = await findHistoryStart(tableClient.platform);
	let {table} = start;
	if (start.isTruncated) {
		print(`Records before offset ${table.next} have expired.`);
	}

	/* eslint-disable no-await-in-loop -- each read starts at the end of the previous one */
	for (;;) {
		const batch = await tableClient.platform.readRecords(
			tableStream,
			table.next,
		);
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

/**
 * Finds the table from which the history starts: the empty table while the log
 * still holds its first record, else the table of the latest snapshot, so that
 * the history is truncated.
 */
async function findHistoryStart(platform: PlatformClient) {
	const empty = createTable();
	const batch = await platform.readRecords(tableStream, empty.next);
	if (batch.isErr() || batch.value.first === 0) {
		return {table: empty, isTruncated: false};
	}

	const snapshot = await readNewestSnapshot(platform);
	const table = snapshot.isOk() ? (snapshot.value.table ?? empty) : empty;
	return {table, isTruncated: true};
}

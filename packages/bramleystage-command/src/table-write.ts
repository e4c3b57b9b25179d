/** The subcommands that edit the table, `table set` and `table import`: they publish changes and print their outcome. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import readline from 'node:readline/promises';
import {
	compareTables,
	createRowConflict,
	type EditResult,
	findRowVersion,
	formatTableError,
	parseCsv,
	type RowChange,
	type RowKey,
	type TableError,
	validateCells,
	validateRowKey,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import type {TableClient} from './table-client.js';
import {formatChange, formatConflict, formatLagging} from './table-print.js';

/** Exit codes of the table subcommands; docs/TABLE.md lists them. */
export const tableExitCodes = {
	inForce: 0,
	failed: 1,
	usage: 2,
	badValues: 3,
	conflict: 4,
	notYetInForce: 5,
	unknown: 6,
	declined: 7,
} as const;
export type TableExitCode =
	(typeof tableExitCodes)[keyof typeof tableExitCodes];

export type WriteOptions = {
	readonly tableClient: TableClient;
	readonly author: string;
	readonly hasOperators: boolean;
	readonly print: (line: string) => void;
};

/** Changes, creates or removes one row. */
export async function runSet(
	options: WriteOptions,
	request: {
		readonly row: string;
		readonly assignments: readonly string[];
		readonly isRemoval: boolean;
	},
): Promise<TableExitCode> {
	const parsed = parseAssignments(request.row, request.assignments);
	if (parsed.isErr()) {
		return printErrors(options, parsed.error);
	}

	const table = await options.tableClient.readTable();
	if (table.isErr()) {
		options.print(table.error.detail);
		return tableExitCodes.failed;
	}

	const {row, cells} = parsed.value;
	if (request.isRemoval && !table.value.rows.has(row)) {
		options.print(`${row}: there is no such row`);
		return tableExitCodes.conflict;
	}

	return publishChanges(options, [
		{
			row,
			against: findRowVersion(table.value, row),
			cells: request.isRemoval ? null : cells,
		},
	]);
}

/** Parses `column=value` assignments to the cells of a row; returns every error. */
function parseAssignments(
	key: string,
	assignments: readonly string[],
): Result<{row: RowKey; cells: Record<string, string>}, TableError[]> {
	const row = validateRowKey(key);
	if (typeof row !== 'string') {
		return err([row]);
	}

	const cells: Record<string, string> = {};
	const errors: TableError[] = [];
	for (const assignment of assignments) {
		const [column = '', ...rest] = assignment.split('=');
		if (rest.length === 0) {
			const rule = 'written as column=value';
			errors.push({row, column, value: assignment, rule});
		} else {
			cells[column] = rest.join('=').trim();
		}
	}

	errors.push(...validateCells(row, cells));
	return errors.length > 0 ? err(errors) : ok({row, cells});
}

/**
 * Imports a CSV file: prints its differences from the table, asks for
 * confirmation and publishes them. Nothing is published if any row conflicts.
 */
export async function runImport(
	options: WriteOptions,
	request: {readonly file: string; readonly isConfirmed: boolean},
): Promise<TableExitCode> {
	const content = await readText(request.file);
	if (content.isErr()) {
		options.print(content.error);
		return tableExitCodes.badValues;
	}

	const file = parseCsv(content.value);
	if (file.isErr()) {
		return printErrors(options, file.error);
	}

	const table = await options.tableClient.readTable();
	if (table.isErr()) {
		options.print(table.error.detail);
		return tableExitCodes.failed;
	}

	const {changes, conflicts} = compareTables(file.value, table.value);
	if (conflicts.length > 0) {
		for (const conflict of conflicts) {
			options.print(formatConflict(conflict, options.author));
		}

		options.print('Nothing was changed. Export again and repeat the edit.');
		return tableExitCodes.conflict;
	}

	if (changes.length === 0) {
		options.print('The table is the same as the file.');
		return tableExitCodes.inForce;
	}

	for (const change of changes) {
		options.print(formatChange(change, table.value));
	}

	const isAccepted =
		request.isConfirmed || (await checkConfirmed(changes.length));
	if (!isAccepted) {
		options.print('Nothing was changed.');
		return tableExitCodes.declined;
	}

	return publishChanges(options, changes);
}

/** Reads a UTF-8 file; the error is a text for the operator. */
async function readText(file: string): Promise<Result<string, string>> {
	try {
		const bytes = await readFile(file);
		return ok(new TextDecoder('utf-8', {fatal: true}).decode(bytes));
	} catch (error) {
		return err(
			error instanceof TypeError
				? `${file}: is not UTF-8; save it as "CSV UTF-8".`
				: (error as Error).message,
		);
	}
}

/** Asks the operator for confirmation; false without a terminal. */
async function checkConfirmed(rowCount: number): Promise<boolean> {
	if (!process.stdin.isTTY) {
		return false;
	}

	const prompt = readline.createInterface({
		input: process.stdin,
		output: process.stderr,
	});
	const answer = await prompt.question(`Publish ${rowCount} rows? [y/N] `);
	prompt.close();
	return /^y(?:es)?$/iv.test(answer.trim());
}

/** Publishes changes, prints the refused rows, and waits until the accepted ones are in force. */
async function publishChanges(
	options: WriteOptions,
	changes: readonly RowChange[],
): Promise<TableExitCode> {
	const {tableClient, print} = options;
	const published = await tableClient.publish(changes);
	if (published.isErr()) {
		print(`unknown: ${published.error.detail}`);
		return tableExitCodes.unknown;
	}

	const refused = published.value.flatMap((result) => result.refused);
	const accepted = published.value.flatMap((result) => result.accepted);
	for (const {row, reason} of refused) {
		const {cells = null} = changes.find((change) => change.row === row) ?? {};
		const conflict = createRowConflict(tableClient.table, row, cells);
		print(`refused (${reason})`);
		print(formatConflict(conflict, options.author));
	}

	if (accepted.length === 0) {
		return tableExitCodes.conflict;
	}

	const code = await printInForce(options, published.value, accepted.length);
	return refused.length > 0 ? tableExitCodes.conflict : code;
}

/** Waits until the edit is in force, that is until every process has folded it; prints the processes that lag. */
async function printInForce(
	{tableClient, print, hasOperators}: WriteOptions,
	results: readonly EditResult[],
	rowCount: number,
): Promise<TableExitCode> {
	const last = results.at(-1);
	print(`accepted: ${rowCount} rows, offset ${last?.offset}`);
	if (!last || !hasOperators) {
		print('not watched: name the entries with --operators');
		return tableExitCodes.notYetInForce;
	}

	const lagging = await tableClient.waitUntilInForce(last.offset);
	if (lagging.length === 0) {
		print('in force');
		return tableExitCodes.inForce;
	}

	print('not in force yet at:');
	for (const laggingProcess of lagging) {
		print(formatLagging(laggingProcess));
	}

	return tableExitCodes.notYetInForce;
}

function printErrors(
	{print}: WriteOptions,
	errors: readonly TableError[],
): TableExitCode {
	for (const error of errors) {
		print(formatTableError(error));
	}

	print('Nothing was changed.');
	return tableExitCodes.badValues;
}

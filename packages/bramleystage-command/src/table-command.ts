/** `bramleystage table …`: shows, edits, imports and exports the operators' table and prints its history. */
import {writeFile} from 'node:fs/promises';
import {userInfo} from 'node:os';
import process from 'node:process';
import type {Argv, CommandModule} from 'yargs';
import * as z from 'zod';
import {readSettings, registerSettingOptions} from './setting-options.js';
import {TableClient} from './table-client.js';
import {runExport, runHistory, runShow} from './table-read.js';
import {runImport, runSet, type TableExitCode} from './table-write.js';

/** Settings that all table subcommands share. */
export const tableSettings = {
	platform: {
		schema: z.string().regex(/^\S+:\d{1,5}$/v, 'must be host:port'),
		description: "Address of the platform's services, host:port",
	},
	operators: {
		schema: z
			.string()
			.default('')
			.transform((value) => value.split(/[\s,]+/v).filter(Boolean)),
		description: "Operators' ports of the entries, host:port, with commas",
	},
	author: {
		schema: z.string().min(1).max(200).optional(),
		description: 'Who makes the edit; the name of the user if left out',
	},
	timeoutMs: {
		schema: z.coerce.number().positive().max(3_600_000).default(30_000),
		description: 'How long to wait for the log and for all processes, in ms',
	},
} as const;

type Flags = Readonly<Record<string, unknown>>;
/** Arguments of a table subcommand besides its own flags. */
type CommandContext = {
	readonly tableClient: TableClient;
	readonly author: string;
	readonly hasOperators: boolean;
	readonly print: (line: string) => void;
};

export const tableCommand: CommandModule = {
	command: 'table',
	describe: "Show and edit the operators' table",
	builder: (argv) => registerSubcommands(argv),
	handler() {
		// `demandCommand` requires a subcommand.
	},
};

function registerSubcommands(argv: Argv): Argv {
	return registerSettingOptions(argv, tableSettings)
		.command(
			'show [row]',
			'Show the rows, or those whose key begins as given',
			(sub) =>
				sub
					.positional('row', {type: 'string', default: ''})
					.example(
						'$0 table show customer/ --platform 127.0.0.1:7000',
						'Show the rows of all customers',
					),
			async (flags) =>
				runWithTableClient(flags, async ({tableClient, print}) =>
					runShow({tableClient, print, prefix: flags.row}),
				),
		)
		.command(
			'set <row> [cells..]',
			'Change cells of a row, or make the row',
			(sub) =>
				sub
					.positional('row', {type: 'string', demandOption: true})
					.positional('cells', {type: 'string', array: true, default: []})
					.option('remove', {
						type: 'boolean',
						default: false,
						describe: 'Remove the row',
					})
					.example(
						'$0 table set customer/castle-gates weight=3 --platform 127.0.0.1:7000 --operators 127.0.0.1:8081',
						'Change a weight and wait until it is in force',
					),
			async (flags) =>
				runWithTableClient(flags, async (context) =>
					runSet(context, {
						row: flags.row,
						assignments: flags.cells,
						isRemoval: flags.remove,
					}),
				),
		)
		.command(
			'import <file>',
			'Publish the differences of a CSV file',
			(sub) =>
				sub
					.positional('file', {type: 'string', demandOption: true})
					.option('yes', {
						type: 'boolean',
						default: false,
						describe: 'Publish without asking',
					})
					.example(
						'$0 table import examples/kaleli.csv --platform 127.0.0.1:7000 --operators 127.0.0.1:8081',
						'Publish an example table and wait until it is in force',
					),
			async (flags) =>
				runWithTableClient(flags, async (context) =>
					runImport(context, {file: flags.file, isConfirmed: flags.yes}),
				),
		)
		.command(
			'export [file]',
			'Write the table as CSV, to standard output if no file is named',
			(sub) =>
				sub
					.positional('file', {type: 'string'})
					.example(
						'$0 table export table.csv --platform 127.0.0.1:7000',
						'Write the table to a file',
					),
			async (flags) =>
				runWithTableClient(flags, async ({tableClient, print}) =>
					runExport({
						tableClient,
						print,
						write: async (csv) => writeCsv(flags.file, csv),
					}),
				),
		)
		.command(
			'history [row]',
			'Show who changed what and when',
			(sub) =>
				sub
					.positional('row', {type: 'string', default: ''})
					.example(
						'$0 table history model/castle-guide --platform 127.0.0.1:7000',
						'Show the changes of one row',
					),
			async (flags) =>
				runWithTableClient(flags, async ({tableClient, print}) =>
					runHistory({tableClient, print, prefix: flags.row}),
				),
		)
		.example('$0 table show --platform 127.0.0.1:7000', 'Show the whole table')
		.demandCommand(1);
}

/** Runs a subcommand with a table client and sets the exit code that it returns. */
async function runWithTableClient(
	flags: Flags,
	run: (context: CommandContext) => Promise<TableExitCode>,
): Promise<void> {
	const settings = readSettings(tableSettings, flags);
	const author = settings.author ?? userInfo().username;
	const {platform, operators, timeoutMs} = settings;
	const tableClient = new TableClient({platform, operators, author, timeoutMs});
	process.exitCode = await run({
		tableClient,
		author,
		hasOperators: operators.length > 0,
		print(line) {
			process.stdout.write(`${line}\n`);
		},
	});
	await tableClient.close();
}

/** Writes the CSV text to a file, or to standard output if no file is named. */
async function writeCsv(file: string | undefined, csv: string): Promise<void> {
	if (file === undefined) {
		process.stdout.write(csv);
	} else {
		await writeFile(file, csv);
	}
}

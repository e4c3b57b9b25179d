/** `bramleystage explain`: prints the trace of one request, collected from the logs of all processes. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {formatTrace, selectTrace} from 'bramleystage';
import type {CommandModule} from 'yargs';

type Flags = {readonly request: string; readonly files: readonly string[]};

export const explainCommand: CommandModule<object, Flags> = {
	command: 'explain <request> <files..>',
	describe: 'Print what became of a request, from the logs of all processes',
	builder: (argv) =>
		argv
			.positional('request', {
				type: 'string',
				demandOption: true,
				describe: 'Id of the request, as the caller sent it',
			})
			.positional('files', {
				type: 'string',
				array: true,
				demandOption: true,
				describe: 'Files of log lines',
			})
			.example(
				'$0 explain 9c41d07be2a35f68 gateway-1.log gateway-2.log',
				'Its own lines are marked by a star; the others say what was believed',
			),
	async handler({request, files}) {
		const texts = await Promise.all(
			files.map(async (file) => readFile(file, 'utf8')),
		);
		const lines = texts.flatMap((text) => text.split('\n'));
		const trace = selectTrace(lines, request);
		if (trace.length === 0) {
			process.stderr.write(`No line names the request ${request}.\n`);
			process.exitCode = 1;
			return;
		}

		process.stdout.write(`${formatTrace(trace)}\n`);
	},
};

#!/usr/bin/env node
/** Entry point of the `bramleystage` command. Wrong usage exits with code 2, an error of a subcommand with code 1. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {agentCommand, dumpCommand, entryCommand} from './daemon-commands.js';
import {explainCommand} from './explain-command.js';
import {benchCommand} from './bench-command.js';
import {siteCommand} from './site-command.js';
import {usageExitCode} from './setting-options.js';
import {standInCommand} from './stand-in-commands.js';
import {tableCommand} from './table-command.js';

await yargs(hideBin(process.argv))
	.scriptName('bramleystage')
	.command(siteCommand)
	.command(entryCommand)
	.command(agentCommand)
	.command(dumpCommand)
	.command(explainCommand)
	.command(benchCommand)
	.command(standInCommand)
	.command(tableCommand)
	.demandCommand(1)
	.strict()
	.version('0.1.0')
	.exitProcess(false)
	.example('$0 site --exit', 'Check that a whole local site answers right')
	.example('$0 entry --help', 'Show the settings of an entry')
	.example('$0 dump 127.0.0.1:8081', "Print a process's state as JSON")
	.epilogue(
		'Each setting is a flag, or the environment variable in brackets; the flag goes first. Exit codes: 0 done, 1 failed, 2 wrong usage or settings.',
	)
	.fail((message, error, parser) => {
		if (!error) {
			parser.showHelp();
		}

		process.stderr.write(`bramleystage: ${message ?? error.message}\n`);
		process.exit(error ? 1 : usageExitCode);
	})
	.parseAsync();

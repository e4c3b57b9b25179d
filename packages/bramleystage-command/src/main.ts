#!/usr/bin/env node
/** The operators' command. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {agentCommand, dumpCommand, entryCommand} from './daemon-commands.js';
import {benchCommand} from './bench-command.js';
import {siteCommand} from './site-command.js';
import {standInCommand} from './stand-in-commands.js';

const usageExitCode = 2;

await yargs(hideBin(process.argv))
	.scriptName('bramleystage')
	.command(siteCommand)
	.command(entryCommand)
	.command(agentCommand)
	.command(dumpCommand)
	.command(benchCommand)
	.command(standInCommand)
	.demandCommand(1)
	.strict()
	.version('0.1.0')
	.exitProcess(false)
	.fail((message, error, parser) => {
		parser.showHelp();
		process.stderr.write(`\nbramleystage: ${message ?? error.message}\n`);
		process.exit(error ? 1 : usageExitCode);
	})
	.parseAsync();

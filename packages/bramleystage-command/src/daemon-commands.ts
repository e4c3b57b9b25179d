/** The subcommands `entry` and `agent`, which run until a signal stops them, and `dump`, which prints the state of either. */
import process from 'node:process';
import {
	agentSettings,
	checkAgentSettings,
	createLogger,
	entrySettings,
	sendHttpRequest,
	toHostId,
} from 'bramleystage';
import {startAgent} from 'bramleystage-agent';
import {startEntry} from 'bramleystage-entry';
import type {CommandModule} from 'yargs';
import {waitForStop} from './process-command.js';
import {readSettings, registerSettingOptions} from './setting-options.js';

/** Time without a byte of the state after which it is given up, in milliseconds. */
const dumpSilenceMs = 5000;
/** Limit of the whole transfer of a state, in milliseconds; the largest one, 16 MiB, takes 54 s at 2.5 Mbit/s. */
const dumpTimeoutMs = 60_000;

export const entryCommand: CommandModule = {
	command: 'entry',
	describe: "Run an entry: takes callers' HTTP requests",
	builder: (argv) =>
		registerSettingOptions(argv, entrySettings).example(
			'$0 entry --host entry-1 --data-centre izmir-a --platform 127.0.0.1:7000 --listen 127.0.0.1:8080',
			'An entry on port 8080',
		),
	async handler(flags) {
		const settings = readSettings(entrySettings, flags);
		const host = toHostId(settings.host);
		const logger = createLogger(settings.logLevel, {role: 'entry', host});
		const entry = await startEntry(settings, logger);
		process.stdout.write(
			`listening ${entry.address} operators ${entry.operatorAddress} sessions ${entry.sessionAddress}\n`,
		);
		await waitForStop(entry);
	},
};

export const agentCommand: CommandModule = {
	command: 'agent',
	describe: 'Run an agent beside a backend server',
	builder: (argv) =>
		registerSettingOptions(argv, agentSettings).example(
			'$0 agent --host engine-1 --data-centre izmir-a --platform 127.0.0.1:7000 --engine http://127.0.0.1:9001',
			'An agent beside a model engine',
		),
	async handler(flags) {
		const settings = readSettings(agentSettings, flags, checkAgentSettings);
		const host = toHostId(settings.host);
		const logger = createLogger(settings.logLevel, {role: 'agent', host});
		const agent = await startAgent(settings, logger);
		process.stdout.write(
			`listening ${agent.address} operators ${agent.operatorAddress}\n`,
		);
		await waitForStop(agent);
	},
};

export const dumpCommand: CommandModule<
	Record<string, unknown>,
	{address: string}
> = {
	command: 'dump <address>',
	describe: "Print a process's state as JSON",
	builder: (argv) =>
		argv
			.positional('address', {
				type: 'string',
				demandOption: true,
				describe: "Address of the process's operators' port, host:port",
			})
			.example('$0 dump 127.0.0.1:8081', 'State of the process there'),
	async handler({address}) {
		const response = await sendHttpRequest({
			method: 'GET',
			url: `http://${address}/dump`,
			silenceMs: dumpSilenceMs,
			timeoutMs: dumpTimeoutMs,
		});
		response.match(
			({body}) => {
				const state: unknown = JSON.parse(body.toString());
				process.stdout.write(`${JSON.stringify(state, undefined, '\t')}\n`);
			},
			(error) => {
				process.stderr.write(`bramleystage: ${error.detail}\n`);
				process.exitCode = 1;
			},
		);
	},
};

/** `bramleystage stand-in …`: runs one stand-in of an external system as its own process. */
import process from 'node:process';
import type {SettingDefinitions} from 'bramleystage';
import {
	defaultPlatformOptions,
	type StandIn,
	startEngineStandIn,
	startPlatformStandIn,
	startServiceStandIn,
} from 'bramleystage-stand-ins';
import type {CommandModule} from 'yargs';
import {
	engineSettings,
	platformSettings,
	serviceSettings,
} from './local-settings.js';
import {waitForStop} from './process-command.js';
import {readSettings, registerSettingOptions} from './setting-options.js';

async function runStandIn(standIn: StandIn): Promise<void> {
	process.stdout.write(`listening ${standIn.address}\n`);
	await waitForStop({
		drain: async () => standIn.drain(),
		stop: async () => standIn.close(),
	});
}

const formatAddress = (port: number) => `127.0.0.1:${port}`;

/** Name, help, settings and start function of one stand-in's subcommand. */
type StandInCommandOptions = {
	readonly name: string;
	readonly describe: string;
	readonly definitions: SettingDefinitions;
	readonly example: string;
	readonly start: (flags: Record<string, unknown>) => Promise<StandIn>;
};

const buildCommand = (options: StandInCommandOptions): CommandModule => ({
	command: options.name,
	describe: options.describe,
	builder: (argv) =>
		registerSettingOptions(argv, options.definitions).example(
			`$0 stand-in ${options.name} ${options.example}`,
			options.describe,
		),
	async handler(flags) {
		await runStandIn(await options.start(flags));
	},
});

const platformCommand = buildCommand({
	name: 'platform',
	describe: 'Log, host list and weight store',
	definitions: platformSettings,
	example: '--port 7000 --host-lag-ms 50',
	async start(flags) {
		const {port, ...options} = readSettings(platformSettings, flags);
		const address = formatAddress(port);
		return startPlatformStandIn({
			...defaultPlatformOptions,
			...options,
			address,
		});
	},
});

const engineCommand = buildCommand({
	name: 'engine',
	describe: 'Model engine that holds a range of layers',
	definitions: engineSettings,
	example: '--port 9001 --from-layer 0 --to-layer 10 --kind large',
	async start(flags) {
		const settings = readSettings(engineSettings, flags);
		return startEngineStandIn({
			...settings,
			address: formatAddress(settings.port),
			version: settings.modelVersion,
			modelLayers: settings.layers,
			acceleratorKind: settings.kind,
			prefixCache: {
				maxBlocks: settings.cacheBlocks,
				eventLagMs: settings.cacheEventLagMs,
				loseEvery: settings.cacheLoseEvery,
			},
		});
	},
});

const serviceCommand = buildCommand({
	name: 'service',
	describe: 'Plain service with bookings',
	definitions: serviceSettings,
	example: '--port 9101 --name ticket-office-1',
	async start(flags) {
		const {port, ...options} = readSettings(serviceSettings, flags);
		return startServiceStandIn({...options, address: formatAddress(port)});
	},
});

export const standInCommand: CommandModule = {
	command: 'stand-in',
	describe: 'Run a stand-in of an outside system',
	builder: (argv) =>
		argv
			.command(platformCommand)
			.command(engineCommand)
			.command(serviceCommand)
			.example('$0 stand-in platform --port 7000', "The platform's stand-in")
			.demandCommand(1),
	handler() {
		// `demandCommand` requires a subcommand.
	},
};

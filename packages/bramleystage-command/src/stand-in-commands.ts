/** `bramleystage stand-in …`: each stand-in as a process of its own. */
import process from 'node:process';
import {
	type AcceleratorKind,
	acceleratorKinds,
	defaultPlatformOptions,
	type StandIn,
	startEngine,
	startPlatform,
	startService,
} from 'bramleystage-stand-ins';
import type {Argv, CommandModule} from 'yargs';
import {waitForStop} from './process-command.js';

const kinds = Object.keys(acceleratorKinds) as AcceleratorKind[];

const registerPort = (argv: Argv) =>
	argv.option('port', {
		type: 'number',
		default: 0,
		describe: 'Port on 127.0.0.1; 0 takes a free one',
	});

async function runStandIn(standIn: StandIn): Promise<void> {
	process.stdout.write(`listening ${standIn.address}\n`);
	const stop = async () => standIn.close();
	await waitForStop({drain: stop, stop});
}

const platformCommand: CommandModule<
	Record<string, unknown>,
	{port: number}
> = {
	command: 'platform',
	describe: 'Log, host list and weight store',
	builder: (argv) => registerPort(argv),
	async handler({port}) {
		const address = `127.0.0.1:${port}`;
		await runStandIn(await startPlatform({...defaultPlatformOptions, address}));
	},
};

type EngineFlags = {
	port: number;
	model: string;
	modelVersion: string;
	fromLayer: number;
	toLayer: number;
	layers: number;
	kind: AcceleratorKind;
	checksFencing: boolean;
};

const engineCommand: CommandModule<Record<string, unknown>, EngineFlags> = {
	command: 'engine',
	describe: 'Model engine that holds a range of layers',
	builder: (argv) =>
		registerPort(argv)
			.option('model', {type: 'string', default: 'castle-guide'})
			.option('model-version', {type: 'string', default: '1'})
			.option('from-layer', {type: 'number', default: 0})
			.option('to-layer', {type: 'number', default: 24})
			.option('layers', {
				type: 'number',
				default: 24,
				describe: 'Layers of the whole model',
			})
			.option('kind', {choices: kinds, default: 'medium'})
			.option('checks-fencing', {type: 'boolean', default: true}) as never,
	async handler(flags) {
		const engine = await startEngine({
			address: `127.0.0.1:${flags.port}`,
			model: flags.model,
			version: flags.modelVersion,
			fromLayer: flags.fromLayer,
			toLayer: flags.toLayer,
			modelLayers: flags.layers,
			acceleratorKind: flags.kind,
			checksFencing: flags.checksFencing,
		});
		await runStandIn(engine);
	},
};

type ServiceFlags = {port: number; name: string; bookingMs: number};

const serviceCommand: CommandModule<Record<string, unknown>, ServiceFlags> = {
	command: 'service',
	describe: 'Plain service with bookings',
	builder: (argv) =>
		registerPort(argv)
			.option('name', {type: 'string', default: 'ticket-office'})
			.option('booking-ms', {type: 'number', default: 5}) as never,
	async handler({port, name, bookingMs}) {
		const address = `127.0.0.1:${port}`;
		await runStandIn(await startService({address, name, bookingMs}));
	},
};

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
		// The subcommands do the work.
	},
};

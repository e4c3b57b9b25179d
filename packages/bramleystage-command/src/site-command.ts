/** `bramleystage site`: runs a complete local site and sends it one sample request of each kind. */
import process from 'node:process';
import {createLogger} from 'bramleystage';
import type {CommandModule} from 'yargs';
import {
	deployments,
	formatSampleApiKey,
	runSamples,
	type SampleResult,
	type Site,
	startSite,
} from 'bramleystage-site';
import {siteSettings} from './local-settings.js';
import {waitForStop} from './process-command.js';
import {readSettings, registerSettingOptions} from './setting-options.js';

export const siteCommand: CommandModule = {
	command: 'site',
	describe: 'Run a whole local site with stand-ins, in one process',
	builder: (argv) =>
		registerSettingOptions(argv, siteSettings)
			.example('$0 site --exit', 'Check that the samples are answered right')
			.example('$0 site --deployment cooperative', 'Run the other deployment'),
	async handler(flags) {
		const settings = readSettings(siteSettings, flags);
		const logger = createLogger(settings.logLevel, {});
		const site = await startSite(deployments[settings.deployment], logger);
		const [entry] = site.entries;
		const results = entry ? await runSamples(site.deployment, entry) : [];
		printSamples(results);
		const areAllRight =
			results.length > 0 && results.every(({isRight}) => isRight);
		if (!settings.exit) {
			printAddresses(site);
			await waitForStop({drain: site.drain, stop: site.stop});
		}

		await site.stop();
		process.exitCode = areAllRight ? 0 : 1;
	},
};

function printLine(text: string): void {
	process.stdout.write(`${text}\n`);
}

function printSamples(results: readonly SampleResult[]): void {
	for (const {name, isRight, answer, pipeline} of results) {
		printLine(`${name}: ${isRight ? 'right' : 'WRONG'}`);
		printLine(`  answer:   ${answer.trim()}`);
		printLine(`  pipeline: ${pipeline}`);
	}
}

function printAddresses({deployment, entries, agents, platform}: Site): void {
	printLine('');
	for (const [index, entry] of entries.entries()) {
		printLine(
			`entry-${index + 1}: http://${entry.address}  operators: http://${entry.operatorAddress}`,
		);
	}

	for (const [host, agent] of agents) {
		printLine(
			`${host}: ${agent.address}  operators: http://${agent.operatorAddress}`,
		);
	}

	printLine(`platform: http://${platform.address}`);
	printNextCommands(
		deployment,
		entries[0]?.address ?? '',
		entries[0]?.operatorAddress ?? '',
	);
}

function printNextCommands(
	deployment: Site['deployment'],
	address: string,
	operatorAddress: string,
): void {
	const [customer = ''] = deployment.customers;
	const authorization = `-H 'authorization: Bearer ${formatSampleApiKey(customer)}'`;
	const chat = JSON.stringify({
		model: deployment.model,
		stream: true,
		max_tokens: 20,
		messages: [{role: 'user', content: 'Good morning'}],
	});
	printLine('');
	printLine('Try next:');
	printLine(
		`  curl -N http://${address}/v1/chat/completions ${authorization} -d '${chat}'`,
	);
	printLine(
		`  curl http://${address}/v1/services/${deployment.service}/bookings ${authorization} -d '{"reference":"my-booking"}'`,
	);
	printLine(
		`  node packages/bramleystage-command/dist/main.js dump ${operatorAddress}`,
	);
}

/** `bramleystage site`: a whole local site with one sample request of each kind. */
import process from 'node:process';
import {createLogger} from 'bramleystage';
import type {CommandModule} from 'yargs';
import {
	type DeploymentName,
	deploymentNames,
	deployments,
	formatSampleKey,
	runSamples,
	type SampleResult,
	type Site,
	startSite,
} from 'bramleystage-site';
import {waitForStop} from './process-command.js';

type SiteFlags = {
	readonly deployment: DeploymentName;
	readonly exit: boolean;
	readonly logLevel: 'error' | 'warn' | 'info' | 'debug';
};

export const siteCommand: CommandModule<Record<string, unknown>, SiteFlags> = {
	command: 'site',
	describe: 'Run a whole local site with stand-ins, in one process',
	builder: (argv) =>
		argv
			.option('deployment', {
				choices: deploymentNames,
				default: 'kaleli',
				describe: 'Which sample deployment to run',
			})
			.option('exit', {
				type: 'boolean',
				default: false,
				describe: 'End after the samples: 0 if all answers were right, else 1',
			})
			.option('log-level', {
				choices: ['error', 'warn', 'info', 'debug'] as const,
				default: 'warn' as const,
				describe: 'Lowest level of the lines that are logged',
			})
			.example('$0 site --exit', 'Check that the samples are answered right')
			.example(
				'$0 site --deployment cooperative',
				'Run the other deployment',
			) as never,
	async handler(flags) {
		const logger = createLogger(flags.logLevel, {});
		const site = await startSite(deployments[flags.deployment], logger);
		const [entry] = site.entries;
		const results = entry ? await runSamples(site.deployment, entry) : [];
		printSamples(results);
		const areRight =
			results.length > 0 && results.every(({isRight}) => isRight);
		if (!flags.exit) {
			printAddresses(site);
			await waitForStop({drain: site.stop, stop: site.stop});
		}

		await site.stop();
		process.exitCode = areRight ? 0 : 1;
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
	const authorization = `-H 'authorization: Bearer ${formatSampleKey(customer)}'`;
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

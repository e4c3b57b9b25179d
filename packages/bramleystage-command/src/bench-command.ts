/** `bramleystage bench <name>`: runs a bench and prints its results as one JSON object on the last line. */
import process from 'node:process';
import {benches, type BenchFlags} from 'bramleystage-bench';
import type {CommandModule} from 'yargs';

type Flags = {readonly name: string; readonly set: readonly string[]};

export const benchCommand: CommandModule<object, Flags> = {
	command: 'bench <name>',
	describe: 'Run a bench; its last line is one JSON object',
	builder: (argv) =>
		argv
			.positional('name', {
				type: 'string',
				demandOption: true,
				choices: Object.keys(benches),
				describe: 'Which bench to run',
			})
			.option('set', {
				type: 'string',
				array: true,
				default: readEnvironmentPairs(),
				describe:
					'A flag of the bench, as name=value; may be repeated [BRAMLEYSTAGE_SET, separated by spaces]',
			})
			.example('$0 bench overhead', 'Cost of the way through entry and agents')
			.example(
				'$0 bench overhead --set requests=200',
				'The same with another count of requests',
			),
	async handler({name, set}) {
		const results = await benches[name]?.run(parseFlags(set));
		process.stdout.write(`${JSON.stringify({bench: name, ...results})}\n`);
	},
};

/** Reads the `name=value` pairs of BRAMLEYSTAGE_SET, separated by white space. */
function readEnvironmentPairs(): string[] {
	const text = process.env.BRAMLEYSTAGE_SET ?? '';
	return text.split(/\s+/v).filter((pair) => pair !== '');
}

/** Parses `name=value` pairs; a value may contain further `=` signs. */
function parseFlags(pairs: readonly string[]): BenchFlags {
	return Object.fromEntries(
		pairs.map((pair) => {
			const [name = '', ...rest] = pair.split('=');
			return [name, rest.join('=')];
		}),
	);
}

/**
 * `npm run soak`: runs the history checks with many more random histories than
 * the tests.
 */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {historyChecks} from './history-checks.js';
import {checkStates} from './state-check.js';

const {seed, runs, states} = await yargs(hideBin(process.argv))
	.scriptName('soak')
	.option('seed', {type: 'number', default: 1, describe: 'First random seed'})
	.option('runs', {
		type: 'number',
		default: 20_000,
		describe: 'Number of random histories of each check',
	})
	.option('states', {
		type: 'number',
		default: 10_000,
		describe:
			'Number of random cases of gateways that follow the configuration',
	})
	.strict()
	.parse();

for (const {name, check} of historyChecks) {
	check(seed, runs);
	process.stdout.write(`history=${name} seed=${seed} runs=${runs} held=true\n`);
}

await checkStates(seed, states);
process.stdout.write(`states seed=${seed} runs=${states} held=true\n`);

/** `npm run soak`: runs the history checks longer. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {histories} from './histories.js';

const {seed, runs} = await yargs(hideBin(process.argv))
	.scriptName('soak')
	.option('seed', {type: 'number', default: 1, describe: 'First random seed'})
	.option('runs', {
		type: 'number',
		default: 20_000,
		describe: 'Histories of each kind',
	})
	.strict()
	.parse();

for (const {name, check} of histories) {
	check(seed, runs);
	process.stdout.write(`history=${name} seed=${seed} runs=${runs} held=true\n`);
}

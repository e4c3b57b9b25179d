/** `npm run check`: explores the specifications exhaustively. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
	checkBrokenRule,
	checkSpecification,
	listRules,
} from './check-report.js';
import {specifications} from './specifications.js';

const {
	list,
	break: broken,
	only,
} = await yargs(hideBin(process.argv))
	.scriptName('check')
	.option('break', {
		type: 'string',
		describe: 'Leaves the mechanism of this rule out; must be caught',
	})
	.option('list', {
		type: 'boolean',
		default: false,
		describe: 'Names the rules',
	})
	.option('only', {
		type: 'string',
		describe: 'Explores only the specification of this name',
	})
	.strict()
	.parse();

const print = (lines: readonly string[]) => {
	process.stdout.write(`${lines.join('\n')}\n`);
};

if (list) {
	print(listRules(specifications));
} else if (broken === undefined) {
	for (const specification of specifications) {
		if (only !== undefined && specification.name !== only) {
			continue;
		}

		const {lines, isRight} = checkSpecification(specification, 'full');
		print(lines);
		process.exitCode = isRight ? process.exitCode : 1;
	}
} else {
	const {lines, isRight} = checkBrokenRule(specifications, broken, 'full');
	print(lines);
	process.exitCode = isRight ? 0 : 1;
}

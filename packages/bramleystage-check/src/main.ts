/** `npm run check`: explores the specifications exhaustively. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
	checkWithoutMechanism,
	checkSpecification,
	listInvariants,
} from './check-report.js';
import {specifications} from './specifications.js';

const {
	list,
	break: omitted,
	only,
} = await yargs(hideBin(process.argv))
	.scriptName('check')
	.option('break', {
		type: 'string',
		describe:
			'Omits the mechanism behind this invariant; a counter-example must be found',
	})
	.option('list', {
		type: 'boolean',
		default: false,
		describe: 'Lists the invariants',
	})
	.option('only', {
		type: 'string',
		describe: 'Explores only the specification with this name',
	})
	.strict()
	.parse();

const print = (lines: readonly string[]) => {
	process.stdout.write(`${lines.join('\n')}\n`);
};

if (list) {
	print(listInvariants(specifications));
} else if (omitted === undefined) {
	for (const specification of specifications) {
		if (only !== undefined && specification.name !== only) {
			continue;
		}

		const {lines, hasPassed} = checkSpecification(specification, 'full');
		print(lines);
		process.exitCode = hasPassed ? process.exitCode : 1;
	}
} else {
	const {lines, hasPassed} = checkWithoutMechanism(
		specifications,
		omitted,
		'full',
	);
	print(lines);
	process.exitCode = hasPassed ? 0 : 1;
}

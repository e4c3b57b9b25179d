// Prints the failed tests of a run. Exits with 0 only if there are any and each is
// listed in KNOWN-RED.txt, otherwise with 1. The argument is the path of the test
// runner's JSON report.
import {readFileSync} from 'node:fs';
import process from 'node:process';

const report = JSON.parse(readFileSync(process.argv[2], 'utf8'));
const known = readFileSync(
	new URL('../KNOWN-RED.txt', import.meta.url),
	'utf8',
);
const failed = report.testResults.flatMap(
	({name, status, assertionResults}) => {
		const file = name.slice(name.search(/(?:packages|platform)\//v));
		const tests = assertionResults.filter((test) => test.status === 'failed');
		return status === 'failed' && tests.length === 0
			? [`${file} (the whole file)`]
			: tests.map(({title}) => `${file} > ${title}`);
	},
);
const unknown = failed.filter((test) => !known.includes(`test: ${test}\n`));
for (const test of failed) {
	process.stdout.write(
		`${unknown.includes(test) ? 'not listed' : 'known red'}: ${test}\n`,
	);
}

process.exitCode = failed.length > 0 && unknown.length === 0 ? 0 : 1;

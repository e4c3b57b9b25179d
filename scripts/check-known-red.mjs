// Passes over failed tests only if each is listed in KNOWN-RED.txt, and prints
// them. The argument is a report of the test runner as JSON.
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

/**
 * Prints the commands of a sample site's processes, each to be run in its own
 * terminal, followed by the requests that register the hosts, the command that
 * publishes the table, and the readiness checks of the entries.
 *
 *     node examples/print-commands.mjs --deployment cooperative --base-port 7300
 */
import process from 'node:process';
import {
	buildRegistration,
	listPorts,
	listPublicationWords,
	listProcesses,
	readFlag,
} from './commands.mjs';

const defaultBasePort = 7300;
const flags = process.argv.slice(2);
const basePort = Number(readFlag(flags, 'base-port', defaultBasePort));
const {deployment, platform, processes, hosts, entries} = listProcesses(
	readFlag(flags, 'deployment', 'kaleli'),
	listPorts(basePort),
);

function printLine(text) {
	process.stdout.write(`${text}\n`);
}

const formatCommand = (words) =>
	`node packages/bramleystage-command/dist/main.js ${words.join(' ')}`;

const formatCurl = ({method, url, body}) =>
	`curl -X ${method} ${url} -d '${body}'`;

for (const {name, words} of processes) {
	printLine(`# ${name}`);
	printLine(formatCommand(words));
}

printLine('# the platform lists the hosts');
for (const host of hosts) {
	printLine(formatCurl(buildRegistration(platform, host)));
}

printLine('# the first table');
printLine(formatCommand(listPublicationWords({platform, deployment, entries})));
printLine('# ready when both say so');
for (const {address} of entries) {
	printLine(`curl http://${address}/readyz`);
}

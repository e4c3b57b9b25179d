/**
 * Runs a sample site as separate processes, sends the samples to both entries,
 * compares the answers with the reference, and stops everything by SIGTERM.
 * Ends with 0 if every answer was right and every process ended with 0.
 *
 *     node examples/run-processes.mjs --deployment cooperative --base-port 7300
 *
 * Without a base port it takes free ports.
 */
import {spawn} from 'node:child_process';
import {createServer} from 'node:net';
import process from 'node:process';
import {setTimeout as waitFor} from 'node:timers/promises';
import {runSamples} from '../packages/bramleystage-site/dist/index.js';
import {
	buildRegistration,
	commandPath,
	listPorts,
	listPublicationWords,
	listProcesses,
	portCount,
	readFlag,
	workingDirectory,
} from './commands.mjs';

const startTimeoutMs = 15_000;
const readyTimeoutMs = 20_000;
const readyStepMs = 100;
const stopTimeoutMs = 20_000;

const flags = process.argv.slice(2);
const basePort = readFlag(flags, 'base-port', undefined);

/** First port to try; ports below 32768 are not given out by the kernel. */
const firstPort = 12_000;
const portBlocks = 700;

/** True if a port can be listened on now. */
const hasFreePort = async (port) =>
	new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});

/** Finds ports in a row that are free now; runs at the same time start apart. */
async function findFreePorts() {
	for (let attempt = 0; attempt < portBlocks; attempt++) {
		const block = (process.pid + attempt) % portBlocks;
		const ports = listPorts(firstPort + block * portCount);
		// eslint-disable-next-line no-await-in-loop -- tries one block after the other
		const areFree = await Promise.all(ports.map((port) => hasFreePort(port)));
		if (areFree.every(Boolean)) {
			return ports;
		}
	}

	throw new Error('No free ports.');
}

/** Starts a process; resolves when it says that it listens. */
async function startProcess({name, phase, words}) {
	const child = spawn(process.execPath, [commandPath, ...words], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	const ended = new Promise((resolve) => {
		child.once('exit', (code, signal) => {
			resolve(code ?? signal);
		});
	});
	await new Promise((resolve, reject) => {
		const timer = setTimeout(() => {
			reject(new Error(`${name} did not start.`));
		}, startTimeoutMs);
		child.stdout.on('data', (text) => {
			clearTimeout(timer);
			process.stdout.write(`${name}: ${text}`);
			resolve();
		});
		child.once('exit', () => {
			clearTimeout(timer);
			reject(new Error(`${name} ended before it listened.`));
		});
		child.once('error', reject);
	}).catch((error) => {
		child.kill('SIGKILL');
		throw error;
	});
	return {name, phase, child, ended};
}

async function sendRequest({method, url, body}) {
	const answer = await fetch(url, {
		method,
		body,
		headers: {'content-type': 'application/json'},
	});
	if (!answer.ok) {
		throw new Error(`${method} ${url}: ${answer.status}`);
	}
}

/** Publishes the first table by the operators' command. */
async function publishTable() {
	const words = listPublicationWords({platform, deployment, entries});
	const child = spawn(process.execPath, [commandPath, ...words], {
		cwd: workingDirectory,
		stdio: ['ignore', 'inherit', 'inherit'],
	});
	const code = await new Promise((resolve) => {
		child.once('exit', resolve);
	});
	if (code !== 0) {
		throw new Error(`The table was not published: ${code}`);
	}
}

/** Waits until an entry is ready and has a session to every agent. */
async function waitForEntry({name, operatorAddress}, agentCount) {
	const until = performance.now() + readyTimeoutMs;
	while (performance.now() < until) {
		// eslint-disable-next-line no-await-in-loop -- polls until ready
		const answer = await fetch(`http://${operatorAddress}/dump`);
		// eslint-disable-next-line no-await-in-loop -- polls until ready
		const {tableOffset, hosts} = await answer.json();
		// eslint-disable-next-line no-await-in-loop -- polls until ready
		const ready = await fetch(`http://${operatorAddress}/readyz`);
		if (ready.ok && tableOffset > 0 && hosts.length >= agentCount) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop -- polls until ready
		await waitFor(readyStepMs);
	}

	throw new Error(`${name} did not become ready.`);
}

/** Sends the samples through one entry; true if all answers were right. */
async function checkEntry(deployment, {name, address}) {
	const results = await runSamples(deployment, {address});
	for (const {name: sample, isRight, answer} of results) {
		process.stdout.write(
			`${name}: ${sample}: ${isRight ? 'right' : 'WRONG'}: ${answer.trim()}\n`,
		);
	}

	return results.length > 0 && results.every(({isRight}) => isRight);
}

/** Stops a process by SIGTERM; true if it ended with 0 in time. */
async function stopProcess({name, child, ended}) {
	child.kill('SIGTERM');
	const timer = setTimeout(() => {
		child.kill('SIGKILL');
	}, stopTimeoutMs);
	const code = await ended;
	clearTimeout(timer);
	if (code !== 0) {
		process.stdout.write(`${name}: ended with ${code}\n`);
	}

	return code === 0;
}

/** Stops entries first, then agents, then the stand-ins. */
async function stopAll(running) {
	let areRight = true;
	for (const phase of [3, 2, 1]) {
		// eslint-disable-next-line no-await-in-loop -- each phase needs the earlier ones
		const results = await Promise.all(
			running
				.filter((each) => each.phase === phase)
				.map(async (each) => stopProcess(each)),
		);
		areRight &&= results.every(Boolean);
	}

	return areRight;
}

const {deployment, platform, processes, hosts, entries} = listProcesses(
	readFlag(flags, 'deployment', 'kaleli'),
	basePort === undefined ? await findFreePorts() : listPorts(Number(basePort)),
);
const running = [];
let areRight = false;
try {
	for (const phase of [1, 2, 3]) {
		// eslint-disable-next-line no-await-in-loop -- each phase needs the earlier ones
		const started = await Promise.allSettled(
			processes
				.filter((each) => each.phase === phase)
				.map(async (each) => startProcess(each)),
		);
		running.push(...started.map(({value}) => value).filter(Boolean));
		const failed = started.find(({status}) => status === 'rejected');
		if (failed) {
			throw failed.reason;
		}
	}

	await Promise.all(
		hosts.map(async (host) => sendRequest(buildRegistration(platform, host))),
	);
	await publishTable();
	const agentCount = hosts.length - entries.length;
	areRight = true;
	for (const entry of entries) {
		// eslint-disable-next-line no-await-in-loop -- one entry after the other
		await waitForEntry(entry, agentCount);
		// eslint-disable-next-line no-await-in-loop -- one entry after the other
		areRight = (await checkEntry(deployment, entry)) && areRight;
	}
} catch (error) {
	process.stderr.write(`${error.message}\n`);
	areRight = false;
} finally {
	const haveEnded = await stopAll(running);
	process.exitCode = areRight && haveEnded ? 0 : 1;
}

/**
 * Runs a sample site as separate processes, sends the sample requests to both
 * entries, compares the answers with the reference, and stops every process with
 * SIGTERM. Exits with 0 if every answer was right and every process exited with 0.
 *
 *     node examples/run-processes.mjs --deployment cooperative --base-port 7300
 *
 * Without a base port it uses free ports.
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
const readyPollMs = 100;
const stopTimeoutMs = 20_000;

const flags = process.argv.slice(2);
const basePort = readFlag(flags, 'base-port', undefined);

/** First port to try. All ports tried are below 32768, where the kernel's ephemeral ports begin. */
const firstPort = 12_000;
const portBlocks = 700;

/** Returns true if a port is free to listen on. */
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

/**
 * Finds a block of consecutive free ports. The search starts at a block that
 * depends on the process id, so that concurrent runs rarely collide.
 */
async function findFreePorts() {
	for (let attempt = 0; attempt < portBlocks; attempt++) {
		const block = (process.pid + attempt) % portBlocks;
		const ports = listPorts(firstPort + block * portCount);
		// eslint-disable-next-line no-await-in-loop -- tries one block after another
		const areFree = await Promise.all(ports.map((port) => hasFreePort(port)));
		if (areFree.every(Boolean)) {
			return ports;
		}
	}

	throw new Error('No free ports.');
}

/** Starts a process; resolves when it prints its first output, which reports that it is listening. */
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
	const response = await fetch(url, {
		method,
		body,
		headers: {'content-type': 'application/json'},
	});
	if (!response.ok) {
		throw new Error(`${method} ${url}: ${response.status}`);
	}
}

/** Publishes the first table with the command-line program. */
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

/** Waits until an entry is ready, has a table and is connected to every agent. */
async function waitForEntry({name, operatorAddress}, agentCount) {
	const deadline = performance.now() + readyTimeoutMs;
	while (performance.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop -- polls until ready
		const dump = await fetch(`http://${operatorAddress}/dump`);
		// eslint-disable-next-line no-await-in-loop -- polls until ready
		const {tableOffset, hosts} = await dump.json();
		// eslint-disable-next-line no-await-in-loop -- polls until ready
		const readiness = await fetch(`http://${operatorAddress}/readyz`);
		if (readiness.ok && tableOffset > 0 && hosts.length >= agentCount) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop -- polls until ready
		await waitFor(readyPollMs);
	}

	throw new Error(`${name} did not become ready.`);
}

/** Sends the sample requests to one entry; returns true if all answers were right. */
async function checkEntry(deployment, {name, address}) {
	const results = await runSamples(deployment, {address});
	for (const {name: sample, isRight, answer} of results) {
		process.stdout.write(
			`${name}: ${sample}: ${isRight ? 'right' : 'WRONG'}: ${answer.trim()}\n`,
		);
	}

	return results.length > 0 && results.every(({isRight}) => isRight);
}

/** Stops a process with SIGTERM, after a timeout with SIGKILL; returns true if it exited with 0. */
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

/** Stops the entries, then the agents, then the stand-ins; returns true if all exited with 0. */
async function stopAll(running) {
	let haveExitedCleanly = true;
	for (const phase of [3, 2, 1]) {
		// eslint-disable-next-line no-await-in-loop -- each phase needs the earlier ones
		const results = await Promise.all(
			running
				.filter((each) => each.phase === phase)
				.map(async (each) => stopProcess(each)),
		);
		haveExitedCleanly &&= results.every(Boolean);
	}

	return haveExitedCleanly;
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
		// eslint-disable-next-line no-await-in-loop -- one entry after another
		await waitForEntry(entry, agentCount);
		// eslint-disable-next-line no-await-in-loop -- one entry after another
		areRight = (await checkEntry(deployment, entry)) && areRight;
	}
} catch (error) {
	process.stderr.write(`${error.message}\n`);
	areRight = false;
} finally {
	const haveExitedCleanly = await stopAll(running);
	process.exitCode = areRight && haveExitedCleanly ? 0 : 1;
}

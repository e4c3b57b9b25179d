/* eslint-disable no-await-in-loop, unicorn/no-process-exit -- Steps follow each other; `runCase` ends a program. */
/**
 * A small deployment for the cases of the review: the stand-in for the platform's
 * store, gateways as processes of their own with the command of the deploy file, and
 * the record of what was sent, answered and run.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {startStandInStore} from '../dist/stand-in-store.mjs';

/** Interval of the servers' heartbeats, in milliseconds. */
export const heartbeatMs = 1200;
/** Heartbeats that a server may miss before its entry is removed. */
const missedHeartbeats = 3;
/** Time after which the platform starts a process again that has ended, in milliseconds. */
const restartMs = 500;

const root = fileURLToPath(new URL('../..', import.meta.url));

export const isTroubled = process.env.TROUBLE !== '0';

export const delay = async (ms) =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

/** Ports from which free ones are drawn, below those that the kernel gives to connections. */
const portRange = {from: 10_000, to: 18_000};
const givenPorts = new Set();

async function isPortFree(port) {
	const server = net.createServer();
	server.listen(port, '127.0.0.1');
	const isFree = await once(server, 'listening').then(
		() => true,
		() => false,
	);
	if (isFree) {
		server.close();
		await once(server, 'close');
	}

	return isFree;
}

/** Processes that the case has started; they end with it, however it ends. */
const startedProcesses = new Set();

/** Starts a process that ends with the case. */
export function startProcess(program, parameters, options) {
	const child = spawn(program, parameters, options);
	startedProcesses.add(child);
	child.on('exit', () => {
		startedProcesses.delete(child);
	});
	return child;
}

process.on('exit', () => {
	for (const child of startedProcesses) {
		child.kill('SIGKILL');
	}
});
process.on('uncaughtException', (error) => {
	process.stderr.write(`${error.stack}\n`);
	process.exit(2);
});
for (const signal of ['SIGINT', 'SIGTERM']) {
	process.on(signal, () => {
		process.exit(2);
	});
}

/** Finds a free port of a loopback address. */
async function findPort() {
	for (;;) {
		const {from, to} = portRange;
		const port = from + Math.floor(Math.random() * (to - from));
		if (!givenPorts.has(port) && (await isPortFree(port))) {
			givenPorts.add(port);
			return port;
		}
	}
}

/** Opens the record of a case; its lines begin with the seconds since the start. */
function openRecord(folder) {
	const stream = createWriteStream(path.join(folder, 'record.txt'));
	const startedAt = performance.now();
	return {
		write(...words) {
			const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
			stream.write(`${seconds} ${words.join(' ')}\n`);
		},
		async close() {
			stream.end();
			await once(stream, 'finish');
		},
	};
}

/** Formats the settings of a gateway as the platform writes them; the figures are those of kale-gise. */
function formatSettings({name, store, seeds, ports, isFirstStart}) {
	return `
node_name = "${name}"
role = "gateway"
machine_class = "front"
ip = "127.0.0.1"
zone = "izmir-a"
port_range = [${ports.operators - 1}, ${ports.operators}]
seeds = ${JSON.stringify(seeds)}
bootstrap = ${isFirstStart}
heartbeat_ms = ${heartbeatMs}
[listen]
front = "127.0.0.1:${ports.front}"
readiness_addr = "127.0.0.1:${ports.ready}"
control = "127.0.0.1:${ports.control}"
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 196
stall_ms = 2000
[platform]
address = "${store}"
min_ttl_ms = 1000
`;
}

async function pickPorts() {
	return {
		front: await findPort(),
		ready: await findPort(),
		control: await findPort(),
		operators: await findPort(),
	};
}

/** Reads the command of the gateway from the deploy file. */
function readCommand() {
	const deploy = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const command = /^run = "(.*)"$/mv.exec(deploy)?.[1] ?? '';
	return command.split(' ');
}

/** Starts the store, with a configuration, and gateways that are started again when they end. */
export async function startSite(folder, {configuration, gatewayCount}) {
	const record = openRecord(folder);
	const directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	const store = await startStandInStore();
	store.append('keyed.op', 'config', configuration);
	const [program, ...parameters] = readCommand();
	const portsOfGateways = [];
	for (let index = 0; index < gatewayCount; index++) {
		portsOfGateways.push(await pickPorts());
	}

	const seeds = portsOfGateways.map(({control}) => `127.0.0.1:${control}`);
	let isClosing = false;
	const gateways = portsOfGateways.map((ports, index) => {
		const name = `front-${index}`;
		const settings = path.join(directory, `${name}.toml`);
		const gateway = {
			name,
			address: `127.0.0.1:${ports.front}`,
			ready: `127.0.0.1:${ports.ready}`,
			/** Times at which its process ended by itself, on the steady clock in milliseconds. */
			ends: [],
			process: undefined,
		};
		const start = (isFirstStart) => {
			const facts = {name, store: store.address, seeds, ports, isFirstStart};
			writeFileSync(settings, formatSettings(facts));
			const child = startProcess(program, parameters, {
				cwd: root,
				env: {PATH: process.env.PATH, BRAMLEYSTAGE_SETTINGS: settings},
				stdio: ['ignore', 'pipe', 'inherit'],
			});
			gateway.process = child;
			record.write(name, 'starts');
			child.stdout.setEncoding('utf8');
			child.stdout.on('data', (lines) => {
				for (const line of lines.trimEnd().split('\n')) {
					if (!/ event=(?:request|attempt)\./v.test(line)) {
						record.write(name, 'logs', line.split(String.raw`\n`, 1)[0]);
					}
				}
			});
			child.on('exit', (status, signal) => {
				if (isClosing) {
					return;
				}

				gateway.ends.push(performance.now());
				record.write(name, 'ends by itself', status ?? signal);
				setTimeout(() => {
					if (!isClosing) {
						start(false);
					}
				}, restartMs);
			});
		};

		start(true);
		return gateway;
	});
	return {
		record,
		store,
		gateways,
		async close() {
			isClosing = true;
			await Promise.all(
				gateways.map(async ({process: child}) => {
					if (child.exitCode === null && child.signalCode === null) {
						child.kill('SIGKILL');
						await once(child, 'exit');
					}
				}),
			);
			await store.close();
			rmSync(directory, {recursive: true});
			await record.close();
		},
	};
}

/**
 * Keeps a server registered in the store by heartbeats. The store removes the entry
 * after three intervals of silence.
 */
export function registerServer(store, id, entry) {
	let sequence = 0;
	let hasPath = true;
	let isListed = false;
	let lastAt = 0;
	const beats = new EventTarget();
	const beat = () => {
		if (hasPath) {
			beats.dispatchEvent(new Event('beat'));
			sequence++;
			lastAt = performance.now();
			isListed = true;
			store.append('keyed.servers', id, {...entry(), sequence});
		}
	};

	const watch = () => {
		if (
			isListed &&
			performance.now() - lastAt > missedHeartbeats * heartbeatMs
		) {
			isListed = false;
			store.append('keyed.servers', id);
		}
	};

	beat();
	const timers = [setInterval(beat, heartbeatMs), setInterval(watch, 50)];
	return {
		/** Sets whether the server reaches the store. */
		setPath(next) {
			hasPath = next;
		},
		isListed: () => isListed,
		/** Waits for the next heartbeat. */
		async waitForBeat() {
			await once(beats, 'beat');
		},
		close() {
			for (const timer of timers) {
				clearInterval(timer);
			}
		},
	};
}

/** Waits until each gateway answers its readiness check. */
export async function waitForReady(gateways) {
	const endsAt = performance.now() + 15_000;
	for (const {ready} of gateways) {
		while (performance.now() < endsAt) {
			const status = await fetch(`http://${ready}/ready`).then(
				(response) => response.status,
				() => 0,
			);
			if (status === 200) {
				break;
			}

			await delay(50);
		}
	}

	if (performance.now() >= endsAt) {
		throw new Error('The gateways are not ready.');
	}
}

/** Runs a case: exits with 1 if it found the rule broken, 0 if not, and 2 if it could not run. */
export async function runCase(judge) {
	try {
		const isBroken = await judge();
		process.exit(isBroken ? 1 : 0);
	} catch (error) {
		process.stderr.write(`${error.stack}\n`);
		process.exit(2);
	}
}

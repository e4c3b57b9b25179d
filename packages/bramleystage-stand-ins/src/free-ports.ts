/**
 * Free ports for processes that must know their address before they listen. They lie below
 * the kernel's ephemeral range, where no port 0 and no outgoing connection takes them, and
 * each test process has a range of its own, which it claims by listening at its first port.
 */
import net from 'node:net';
import process from 'node:process';

/** First port of the first range. */
const firstPort = 18_000;
const portsPerProcess = 100;
const portRangeCount = 140;

/** This process's range, once it is claimed. */
const claimed: {range?: Promise<number>} = {};
let triedPortCount = 0;

/** Finds a port of this process's own range at which nothing listens. */
export async function pickPort(): Promise<number> {
	claimed.range ??= takeRange();
	const first = await claimed.range;
	const port = first + 1 + (triedPortCount++ % (portsPerProcess - 1));
	const server = await tryListen(port);
	if (!server) {
		return pickPort();
	}

	await new Promise((resolve) => {
		server.close(resolve);
	});
	return port;
}

/** Finds a range that no other process has; returns its first port, which stays taken. */
async function takeRange(tries = 0): Promise<number> {
	if (tries === portRangeCount) {
		throw new Error('Each range of ports is claimed by a process.');
	}

	const range = (process.pid + tries) % portRangeCount;
	const first = firstPort + range * portsPerProcess;
	const server = await tryListen(first);
	server?.unref();
	return server ? first : takeRange(tries + 1);
}

/** Listens at a port; returns undefined if it is taken. */
async function tryListen(port: number): Promise<net.Server | undefined> {
	const server = net.createServer();
	return new Promise((resolve) => {
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

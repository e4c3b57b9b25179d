/**
 * Opens listening addresses. An address that is taken, mostly by a process that is about
 * to end, is tried again for a while. Errors of a listener that is open are logged.
 */
import type {Server} from 'node:net';
import {formatAddress, parseAddress} from './address.js';
import type {Logger} from './logger.js';
import {waitFor} from './wait-for.js';

export type ListenOptions = {
	/** Without it, an error of a listener that is open is thrown. */
	readonly logger?: Pick<Logger, 'info' | 'warn'>;
	/** Connections that the kernel accepts beyond those that the process has taken. */
	readonly backlog?: number;
	readonly maxTries?: number;
	readonly intervalMs?: number;
	/** Ends the tries. */
	readonly signal?: AbortSignal;
};

/** Interval between two tries, in milliseconds. */
const defaultIntervalMs = 100;
/** Tries of an address; together they take longer than a process may take to stop. */
const defaultMaxTries = 100;
/** Errors of an address that may become free. */
const retriedCodes = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/**
 * Starts a server on `host:port`; returns the address that it is bound to, which has the
 * actual port for port 0. Throws the error of the last try.
 */
export async function startServer(
	server: Server,
	address: string,
	{
		logger,
		backlog,
		maxTries = defaultMaxTries,
		intervalMs = defaultIntervalMs,
		signal,
	}: ListenOptions = {},
): Promise<string> {
	for (let tries = 1; ; tries++) {
		// One try begins after the other has failed.
		// eslint-disable-next-line no-await-in-loop
		const error = await tryListen(server, address, backlog);
		if (!error) {
			break;
		}

		const isLast =
			!retriedCodes.has(error.code ?? '') ||
			tries >= maxTries ||
			signal?.aborted === true;
		if (isLast) {
			throw error;
		}

		if (tries === 1) {
			logger?.warn('address.taken', {address, detail: error.message});
		}

		// eslint-disable-next-line no-await-in-loop
		await waitFor(intervalMs);
	}

	const bound = formatAddress(server.address());
	if (logger) {
		logger.info('address.opened', {address: bound});
		server.on('error', (error) => {
			logger.warn('listener.failed', {address: bound, detail: error.message});
		});
	}

	return bound;
}

/** Tries to open an address once; returns the error if that fails. */
async function tryListen(
	server: Server,
	address: string,
	backlog: number | undefined,
): Promise<NodeJS.ErrnoException | undefined> {
	const {host, port} = parseAddress(address);
	return new Promise((resolve) => {
		const handleError = (error: Error) => {
			server.removeListener('listening', handleListening);
			resolve(error);
		};

		const handleListening = () => {
			server.removeListener('error', handleError);
			resolve(undefined);
		};

		server.once('error', handleError);
		server.once('listening', handleListening);
		server.listen({host, port, backlog});
	});
}

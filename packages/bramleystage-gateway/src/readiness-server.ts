/** Answers the platform's readiness checks, and operators' queries for metrics and state. */
import http from 'node:http';
import {
	type LifeCycle,
	type ListenOptions,
	listenForOperators,
	type Logger,
	startServer,
} from 'bramleystage';
import type {Registry} from 'prom-client';
import type {GatewaySettings} from './platform-port.js';

export type OperationsOptions = {
	readonly registry: Registry;
	readonly isReady: () => boolean;
	readonly dump: () => unknown;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
};

/** Interval at which the operators' address is tried again while it is taken, in milliseconds. */
const operatorRetryMs = 1000;

/**
 * Listens for readiness checks and, if the settings name an address for them, for
 * operators. The gateway serves without the latter, which is only for observation.
 */
export async function listenForOperations(
	{
		readyListen,
		operatorListen,
	}: Pick<GatewaySettings, 'readyListen' | 'operatorListen'>,
	options: OperationsOptions,
): Promise<void> {
	await listenForReadinessChecks(readyListen, options);
	if (!operatorListen) {
		return;
	}

	const first = await tryListenForOperators(operatorListen, options, {
		maxTries: 1,
	});
	if (!first) {
		void tryListenForOperators(operatorListen, options, {
			maxTries: Number.POSITIVE_INFINITY,
			intervalMs: operatorRetryMs,
		});
	}
}

/** Listens for operators until the life cycle stops; returns false and logs why if that fails. */
async function tryListenForOperators(
	address: string,
	{lifeCycle, logger, ...options}: OperationsOptions,
	listenOptions: ListenOptions,
): Promise<boolean> {
	const abortController = new AbortController();
	lifeCycle.register(() => {
		abortController.abort();
	});
	try {
		const listener = await listenForOperators(address, options, {
			logger,
			signal: abortController.signal,
			...listenOptions,
		});
		lifeCycle.register(async () => listener.close());
		return true;
	} catch (error) {
		const detail = (error as Error).message;
		logger.warn('operators.unavailable', {address, detail});
		return false;
	}
}

/** Listens for readiness checks until the life cycle stops. */
async function listenForReadinessChecks(
	address: string,
	{isReady, lifeCycle, logger}: OperationsOptions,
): Promise<void> {
	const server = http.createServer((_request, response) => {
		response.writeHead(isReady() ? 200 : 503, {'content-length': 0});
		response.end();
	});
	await startServer(server, address, {logger});
	lifeCycle.register(() => {
		server.close();
		server.closeAllConnections();
	});
}

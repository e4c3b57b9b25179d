/** Answers the platform's readiness checks, and operators' queries for metrics and state. */
import http from 'node:http';
import {type LifeCycle, listenForOperators, parseAddress} from 'bramleystage';
import type {Registry} from 'prom-client';
import type {GatewaySettings} from './platform-port.js';

export type OperationsOptions = {
	readonly registry: Registry;
	readonly isReady: () => boolean;
	readonly dump: () => unknown;
	readonly lifeCycle: LifeCycle;
};

/** Listens for readiness checks and, if the settings name an address for them, for operators. */
export async function listenForOperations(
	{
		readyListen,
		operatorListen,
	}: Pick<GatewaySettings, 'readyListen' | 'operatorListen'>,
	{registry, isReady, dump, lifeCycle}: OperationsOptions,
): Promise<void> {
	await listenForReadinessChecks(readyListen, isReady, lifeCycle);
	if (operatorListen) {
		const listener = await listenForOperators(operatorListen, {
			registry,
			isReady,
			dump,
		});
		lifeCycle.register(async () => listener.close());
	}
}

/** Listens for readiness checks until the life cycle stops. */
async function listenForReadinessChecks(
	address: string,
	isReady: () => boolean,
	lifeCycle: LifeCycle,
): Promise<void> {
	const server = http.createServer((_request, response) => {
		response.writeHead(isReady() ? 200 : 503, {'content-length': 0});
		response.end();
	});
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	lifeCycle.register(() => {
		server.close();
		server.closeAllConnections();
	});
}

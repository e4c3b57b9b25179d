/** Answers the platform's readiness checks. */
import http from 'node:http';
import {type LifeCycle, parseAddress} from 'bramleystage';

/** Listens for readiness checks until the life cycle stops. */
export async function listenForReadinessChecks(
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

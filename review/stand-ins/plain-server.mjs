/** A plain server as the platform's pages describe it; `answer` may replace its answer to a request. */
import {once} from 'node:events';
import http from 'node:http';
import {delay} from './site.mjs';

/** Starts a server that works for some milliseconds on each request. */
export async function startPlainServer(
	record,
	{id, workMs, answer = async () => false},
) {
	/** How often it has begun to work on each request, by the request's id. */
	const runs = new Map();
	let arrivalCount = 0;
	const server = http.createServer(async (request, response) => {
		const requestId = request.headers['x-bramleystage-request-id'];
		request.resume();
		await once(request, 'end');
		arrivalCount++;
		if (request.headers['x-bramleystage-expect-instance'] !== id) {
			record.write(id, 'rejects', requestId, 421);
			response.writeHead(421, {'x-bramleystage-not-executed': '1'}).end();
			return;
		}

		if (await answer({request, response, requestId, count: arrivalCount})) {
			return;
		}

		runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
		record.write(id, 'runs', requestId);
		await delay(workMs);
		const body = JSON.stringify({server: id, request: requestId});
		response
			.writeHead(200, {
				'content-type': 'application/json',
				'content-length': Buffer.byteLength(body),
				'x-bramleystage-request-id': requestId,
				'x-bramleystage-response-stamp': `stamp.${id}`,
			})
			.end(body);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		id,
		address: `127.0.0.1:${server.address().port}`,
		runs,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}

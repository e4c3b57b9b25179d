/** Callers as the platform's pages describe them: requests with an id each, on kept or new connections. */
import http from 'node:http';

export const host = 'site.example';
export const key = 'key-castle';

/** Creates the agent of a caller that keeps one connection open for many requests. */
export const keepConnection = () =>
	new http.Agent({keepAlive: true, maxSockets: 1});

/**
 * Sends a request and resolves to its answer: the status, 0 if there is none, its
 * text, whether it is whole, and whether the connection had been used before.
 */
export async function sendRequest(
	address,
	{id, target, body = '', agent = false, deadlineMs, headers = {}},
) {
	const [hostname, port] = address.split(':');
	return new Promise((resolve) => {
		let status = 0;
		let stamp;
		let text = '';
		const request = http.request({
			hostname,
			port,
			path: target,
			method: 'POST',
			agent,
			headers: {
				host,
				authorization: `Bearer ${key}`,
				'x-bramleystage-request-id': id,
				'x-bramleystage-deadline-ms': String(deadlineMs),
				...headers,
			},
		});
		const finish = (isWhole) => {
			resolve({
				status,
				stamp,
				text,
				isWhole,
				isKept: request.reusedSocket,
			});
		};

		request.on('error', () => {
			finish(false);
		});
		request.on('response', (response) => {
			status = response.statusCode;
			stamp = response.headers['x-bramleystage-response-stamp'];
			response.setEncoding('utf8');
			response.on('data', (piece) => {
				text += piece;
			});
			response.on('error', () => undefined);
			response.on('close', () => {
				finish(response.complete);
			});
		});
		request.end(body);
	});
}

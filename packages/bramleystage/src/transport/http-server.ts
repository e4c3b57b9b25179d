/** HTTP listeners by Node's `http`, with bounds on headers, bodies and slow senders. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {type Failure, createFailure} from '../protocol/result-codes.js';
import {formatAddress, parseAddress} from './address.js';

export type HttpBounds = {
	readonly maxBodyBytes: number;
	readonly maxHeaderBytes: number;
	readonly bodyTimeoutMs: number;
};

export const defaultHttpBounds: HttpBounds = {
	maxBodyBytes: 8 * 1024 * 1024,
	maxHeaderBytes: 16 * 1024,
	bodyTimeoutMs: 15_000,
};

/** How often a draining listener closes idle connections, in milliseconds. */
const idleCheckMs = 50;

export type HttpHandler = (
	request: IncomingMessage,
	response: ServerResponse,
) => void | Promise<void>;

export type HttpListener = {
	readonly address: string;
	/** Takes no new connection and lets the open requests end. */
	drain(): Promise<void>;
	/** Ends every connection at once. */
	close(): Promise<void>;
};

/** Serves HTTP on `host:port`; port 0 takes a free one. */
export async function listenHttp(
	address: string,
	handler: HttpHandler,
	bounds: HttpBounds = defaultHttpBounds,
): Promise<HttpListener> {
	const server = http.createServer(
		{
			maxHeaderSize: bounds.maxHeaderBytes,
			headersTimeout: bounds.bodyTimeoutMs,
			requestTimeout: 0,
			noDelay: true,
		},
		async (request, response) => {
			try {
				await handler(request, response);
			} catch (error) {
				writeInternalError(response, error as Error);
			}
		},
	);
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			resolve();
		});
	});
	const closed = new Promise<void>((resolve) => {
		server.once('close', resolve);
	});
	return {
		address: formatAddress(server.address()),
		async drain() {
			server.close();
			// A kept connection turns idle when its last answer ends.
			const closing = setInterval(() => {
				server.closeIdleConnections();
			}, idleCheckMs);
			await closed;
			clearInterval(closing);
		},
		async close() {
			server.close();
			server.closeAllConnections();
			return closed;
		},
	};
}

function writeInternalError(response: ServerResponse, error: Error): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	writeJson(response, 500, {
		error: {code: 9001, outcome: 'unknown', message: error.message},
	});
}

/** Reads a whole body within the bounds. */
export async function readBody(
	request: IncomingMessage,
	bounds: HttpBounds,
): Promise<Result<Buffer, Failure>> {
	const chunks: Buffer[] = [];
	let size = 0;
	return new Promise((resolve) => {
		const finish = (result: Result<Buffer, Failure>) => {
			clearTimeout(timer);
			request.removeListener('data', take);
			resolve(result);
		};

		const timer = setTimeout(() => {
			finish(err(createFailure('bodyTimeout', 'The body came too slowly.')));
		}, bounds.bodyTimeoutMs);
		const take = (chunk: Buffer) => {
			size += chunk.length;
			chunks.push(chunk);
			if (size > bounds.maxBodyBytes) {
				const detail = `The body is over ${bounds.maxBodyBytes} bytes.`;
				finish(err(createFailure('bodyTooLarge', detail)));
			}
		};

		request.on('data', take);
		request.on('end', () => {
			finish(ok(Buffer.concat(chunks)));
		});
		request.on('error', () => {
			finish(
				err(
					createFailure('cancelled', 'The caller went away.', {
						outcome: 'not-run',
					}),
				),
			);
		});
	});
}

export function writeJson(
	response: ServerResponse,
	status: number,
	value: unknown,
	headers: Readonly<Record<string, string>> = {},
): void {
	const body = Buffer.from(JSON.stringify(value));
	response.writeHead(status, {
		'content-type': 'application/json; charset=utf-8',
		'content-length': String(body.length),
		...headers,
	});
	response.end(body);
}

/** Parses JSON; undefined when the text is not JSON. */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

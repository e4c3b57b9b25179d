/**
 * HTTP listeners with Node's `http`, with limits on headers, bodies and slow
 * senders.
 */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {
	buildErrorBody,
	createFailure,
	type Failure,
	resultCodes,
	selectStatus,
} from '../protocol/result-codes.js';
import {describeUnwritableHead} from './http-heads.js';
import {type ListenOptions, startServer} from './listening.js';
import {registerParserRefusals} from './parser-refusal.js';

export type HttpBounds = {
	readonly maxBodyBytes: number;
	readonly maxHeaderBytes: number;
	/** Limits the time to receive the headers, and then again the body. */
	readonly bodyTimeoutMs: number;
};

export const defaultHttpBounds: HttpBounds = {
	maxBodyBytes: 8 * 1024 * 1024,
	maxHeaderBytes: 16 * 1024,
	bodyTimeoutMs: 15_000,
};

/** How often a draining listener closes idle connections, in milliseconds. */
const idleCheckIntervalMs = 50;

/** Longest interval at which Node checks for slow headers, in milliseconds. */
const maxTimeoutCheckIntervalMs = 5000;

export type HttpHandler = (
	request: IncomingMessage,
	response: ServerResponse,
) => void | Promise<void>;

export type HttpListener = {
	readonly address: string;
	/** Accepts no new connections and waits for the open requests to end. */
	drain(): Promise<void>;
	/** Closes every connection immediately. */
	close(): Promise<void>;
};

/** Serves HTTP on `host:port`; port 0 selects a free port. */
export async function listenHttp(
	address: string,
	handler: HttpHandler,
	bounds: HttpBounds = defaultHttpBounds,
	listenOptions: ListenOptions = {},
): Promise<HttpListener> {
	const server = http.createServer(
		{
			maxHeaderSize: bounds.maxHeaderBytes,
			headersTimeout: bounds.bodyTimeoutMs,
			requestTimeout: 0,
			connectionsCheckingInterval: Math.min(
				bounds.bodyTimeoutMs,
				maxTimeoutCheckIntervalMs,
			),
			noDelay: true,
		},
		async (request, response) => {
			const unwritable = describeUnwritableHead(request);
			if (unwritable) {
				listenOptions.logger?.warn('request.refused', {detail: unwritable});
				refuseBadHttp(request, response, unwritable);
				return;
			}

			try {
				await handler(request, response);
			} catch (error) {
				writeInternalError(response, error as Error);
			}
		},
	);
	registerParserRefusals(server);
	const bound = await startServer(server, address, listenOptions);
	const closed = new Promise<void>((resolve) => {
		server.once('close', resolve);
	});
	return {
		address: bound,
		async drain() {
			server.close();
			// A keep-alive connection becomes idle only when its last response ends.
			const idleTimer = setInterval(() => {
				server.closeIdleConnections();
			}, idleCheckIntervalMs);
			await closed;
			clearInterval(idleTimer);
		},
		async close() {
			server.close();
			server.closeAllConnections();
			return closed;
		},
	};
}

/** Refuses a request that could not be sent on, and closes its connection. */
function refuseBadHttp(
	request: IncomingMessage,
	response: ServerResponse,
	detail: string,
): void {
	request.resume();
	const failure = createFailure('badHttp', detail);
	writeJson(response, selectStatus(failure), buildErrorBody(failure), {
		connection: 'close',
	});
}

function writeInternalError(response: ServerResponse, error: Error): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	writeJson(
		response,
		resultCodes.internal.status,
		buildErrorBody(createFailure('internal', error.message)),
	);
}

/**
 * Reads the complete body. Fails with `bodyTimeout`, `bodyTooLarge`, or
 * `cancelled` if the caller disconnects.
 */
export async function readBody(
	request: IncomingMessage,
	bounds: HttpBounds,
): Promise<Result<Buffer, Failure>> {
	const chunks: Buffer[] = [];
	let size = 0;
	return new Promise((resolve) => {
		const finish = (result: Result<Buffer, Failure>) => {
			clearTimeout(timer);
			request.removeListener('data', appendChunk);
			resolve(result);
		};

		const timer = setTimeout(() => {
			finish(err(createFailure('bodyTimeout', 'The body arrived too slowly.')));
		}, bounds.bodyTimeoutMs);
		const appendChunk = (chunk: Buffer) => {
			size += chunk.length;
			chunks.push(chunk);
			if (size > bounds.maxBodyBytes) {
				const detail = `The body is over ${bounds.maxBodyBytes} bytes.`;
				finish(err(createFailure('bodyTooLarge', detail)));
			}
		};

		request.on('data', appendChunk);
		request.on('end', () => {
			finish(ok(Buffer.concat(chunks)));
		});
		request.on('error', () => {
			finish(
				err(
					createFailure('cancelled', 'The caller disconnected.', {
						outcome: 'not-run',
					}),
				),
			);
		});
	});
}

/** Writes a complete response with a JSON body. */
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

/** Parses JSON; returns undefined if the text is not valid. */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/**
 * HTTP requests with Node's `http`, with a limit on the response body and a
 * timeout.
 */
import http, {type Agent, type IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

export type HttpRequest = {
	readonly method: string;
	readonly url: string;
	readonly headers?: Readonly<Record<string, string | string[]>>;
	readonly body?: Uint8Array | string;
	/** Limits the time until the response has ended. */
	readonly timeoutMs: number;
	/**
	 * Node's shared agent, which reuses connections, if undefined; false opens a
	 * connection for this request only.
	 */
	readonly agent?: Agent | false;
	readonly signal?: AbortSignal;
	readonly maxBodyBytes?: number;
};

export type HttpResponse = {
	readonly status: number;
	/** Names and values in the order of arrival. */
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Buffer;
};

/**
 * Why there is no complete response. `sent` is false only if no connection was
 * made, so that the server can't have received the request.
 */
export type HttpError = {
	readonly kind: 'connect' | 'timeout' | 'aborted' | 'lost' | 'tooLarge';
	readonly sent: boolean;
	readonly detail: string;
};

const defaultMaxBodyBytes = 16 * 1024 * 1024;

/** Sends a request and waits for the complete response. */
export async function sendHttpRequest(
	options: HttpRequest,
): Promise<Result<HttpResponse, HttpError>> {
	const opened = await openHttpResponse(options);
	if (opened.isErr()) {
		return err(opened.error);
	}

	const {response, toHttpError} = opened.value;
	const chunks: Buffer[] = [];
	let size = 0;
	const limit = options.maxBodyBytes ?? defaultMaxBodyBytes;
	try {
		for await (const chunk of response as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size > limit) {
				response.destroy();
				return err({
					kind: 'tooLarge',
					sent: true,
					detail: `The response body is over ${limit} bytes.`,
				});
			}

			chunks.push(chunk);
		}
	} catch (error) {
		return err(toHttpError(error as Error));
	}

	return ok({
		status: response.statusCode ?? 0,
		headers: listHeaders(response),
		body: Buffer.concat(chunks),
	});
}

/**
 * A response whose body is still arriving; `fail` converts an error of the
 * body.
 */
export type OpenHttpResponse = {
	readonly response: IncomingMessage;
	readonly toHttpError: (error: Error) => HttpError;
};

/** Sends a request and resolves when the headers of the response have arrived. */
export async function openHttpResponse(
	options: HttpRequest,
): Promise<Result<OpenHttpResponse, HttpError>> {
	return new Promise((resolve) => {
		let isConnected = false;
		let isTimedOut = false;
		const toHttpError = (error: Error): HttpError => ({
			kind: selectErrorKind(isTimedOut, isConnected, options.signal?.aborted),
			sent: isConnected,
			detail: error.message,
		});
		const request = http.request(options.url, {
			method: options.method,
			headers: {...options.headers},
			agent: options.agent,
			signal: options.signal,
		});
		const timer = setTimeout(() => {
			isTimedOut = true;
			request.destroy(new Error(`No answer within ${options.timeoutMs} ms.`));
		}, options.timeoutMs);
		request.on('close', () => {
			clearTimeout(timer);
		});
		request.on('socket', (socket) => {
			if (!socket.connecting) {
				isConnected = true;
				return;
			}

			socket.once('connect', () => {
				isConnected = true;
			});
		});
		request.on('error', (error) => {
			resolve(err(toHttpError(error)));
		});
		request.on('response', (response) => {
			resolve(ok({response, toHttpError}));
		});
		request.end(options.body);
	});
}

function selectErrorKind(
	isTimedOut: boolean,
	isConnected: boolean,
	isAborted: boolean | undefined,
): HttpError['kind'] {
	if (isTimedOut) {
		return 'timeout';
	}

	if (isAborted) {
		return 'aborted';
	}

	return isConnected ? 'lost' : 'connect';
}

/**
 * Returns a message's headers as pairs of name and value, in the order of
 * arrival.
 */
export function listHeaders(message: IncomingMessage): Array<[string, string]> {
	const pairs: Array<[string, string]> = [];
	for (let index = 0; index + 1 < message.rawHeaders.length; index += 2) {
		pairs.push([
			message.rawHeaders[index] ?? '',
			message.rawHeaders[index + 1] ?? '',
		]);
	}

	return pairs;
}

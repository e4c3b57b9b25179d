/** HTTP requests by Node's `http`, with bounded answers and a deadline. */
import http, {type Agent, type IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

export type HttpRequest = {
	readonly method: string;
	readonly url: string;
	readonly headers?: Readonly<Record<string, string | string[]>>;
	readonly body?: Uint8Array | string;
	readonly timeoutMs: number;
	/** Node's shared agent keeps connections; false opens one for this request. */
	readonly agent?: Agent | false;
	readonly signal?: AbortSignal;
	readonly maxBodyBytes?: number;
};

export type HttpResponse = {
	readonly status: number;
	/** Names and values in the order they came. */
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Buffer;
};

/** Why there is no whole answer. `sent` is false only if the server can't have seen the request. */
export type HttpError = {
	readonly kind: 'connect' | 'timeout' | 'aborted' | 'lost' | 'tooLarge';
	readonly sent: boolean;
	readonly detail: string;
};

const defaultMaxBodyBytes = 16 * 1024 * 1024;

/** Sends a request and waits for the whole answer. */
export async function sendHttp(
	options: HttpRequest,
): Promise<Result<HttpResponse, HttpError>> {
	const opened = await openHttp(options);
	if (opened.isErr()) {
		return err(opened.error);
	}

	const {response, fail} = opened.value;
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
					detail: `Over ${limit} bytes.`,
				});
			}

			chunks.push(chunk);
		}
	} catch (error) {
		return err(fail(error as Error));
	}

	return ok({
		status: response.statusCode ?? 0,
		headers: listHeaders(response),
		body: Buffer.concat(chunks),
	});
}

/** An answer whose body is still arriving. */
export type OpenedHttp = {
	readonly response: IncomingMessage;
	readonly fail: (error: Error) => HttpError;
};

/** Sends a request and resolves when the head of the answer is there. */
export async function openHttp(
	options: HttpRequest,
): Promise<Result<OpenedHttp, HttpError>> {
	return new Promise((resolve) => {
		let isConnected = false;
		let isTimedOut = false;
		const fail = (error: Error): HttpError => ({
			kind: describeKind(isTimedOut, isConnected, options.signal?.aborted),
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
			request.destroy(new Error(`No answer in ${options.timeoutMs} ms.`));
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
			resolve(err(fail(error)));
		});
		request.on('response', (response) => {
			resolve(ok({response, fail}));
		});
		request.end(options.body);
	});
}

function describeKind(
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

/** Lists a message's headers as pairs, in the order they came. */
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

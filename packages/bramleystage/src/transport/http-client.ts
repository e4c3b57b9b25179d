/**
 * HTTP requests with Node's `http`, with limits on the size of the response body,
 * on its silence, and on the whole time.
 */
import type {Agent, IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {registerAnswerGuard} from './answer-guard.js';
import {listHeaders, minFinalStatus, openHttpRequest} from './http-heads.js';

export type HttpRequest = {
	readonly method: string;
	readonly url: string;
	readonly headers?: Readonly<Record<string, string | string[]>>;
	readonly body?: Uint8Array | string;
	/** Limits the time until the response has ended. */
	readonly timeoutMs: number;
	/**
	 * Limits the time without a byte of the response, the wait for its head
	 * included; only `timeoutMs` does if undefined. A consumer that stops reading
	 * makes the response silent.
	 */
	readonly silenceMs?: number;
	/** Called when bytes of the response have arrived. */
	readonly onArrival?: () => void;
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
	readonly kind:
		/** Nothing listens at the address. */
		| 'refused'
		/** The connection failed in another way. */
		| 'connect'
		| 'timeout'
		| 'aborted'
		| 'lost'
		| 'tooLarge';
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

	const {status, response, toHttpError, countBody} = opened.value;
	const chunks: Buffer[] = [];
	let size = 0;
	const limit = options.maxBodyBytes ?? defaultMaxBodyBytes;
	try {
		for await (const chunk of response as AsyncIterable<Buffer>) {
			size += chunk.length;
			countBody(chunk.length);
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
		status,
		headers: listHeaders(response),
		body: Buffer.concat(chunks),
	});
}

/**
 * A response whose body is still arriving; `fail` converts an error of the
 * body.
 */
export type OpenHttpResponse = {
	/** Status of a final response, 200 or above. */
	readonly status: number;
	readonly response: IncomingMessage;
	readonly toHttpError: (error: Error) => HttpError;
	/** Must be told each length of the body that is read. */
	readonly countBody: (bytes: number) => void;
};

/** Sends a request and resolves when the headers of the response have arrived. */
export async function openHttpResponse(
	options: HttpRequest,
): Promise<Result<OpenHttpResponse, HttpError>> {
	return new Promise((resolve) => {
		let isConnected = false;
		let timeoutDetail: string | undefined;
		let guardDetail: string | undefined;
		const toHttpError = (error: Error): HttpError => ({
			kind: selectErrorKind(error, {
				isTimedOut: timeoutDetail !== undefined,
				isConnected,
				isAborted: options.signal?.aborted,
			}),
			sent: isConnected,
			detail: timeoutDetail ?? guardDetail ?? error.message,
		});
		const opened = openHttpRequest(
			{
				method: options.method,
				headers: {...options.headers},
				agent: options.agent,
				signal: options.signal,
			},
			options.url,
		);
		if (opened.isErr()) {
			resolve(
				err({kind: 'connect', sent: false, detail: opened.error.message}),
			);
			return;
		}

		const request = opened.value;
		const limits = startResponseLimits(options, (detail) => {
			timeoutDetail ??= detail;
			request.destroy(new Error(detail));
		});
		const countBody = registerAnswerGuard(request, (detail) => {
			guardDetail ??= detail;
			request.destroy(new Error(detail));
		});
		request.on('close', () => {
			limits.stop();
		});
		request.on('socket', (socket) => {
			socket.on('data', limits.recordArrival);
			request.on('close', () => {
				socket.off('data', limits.recordArrival);
			});
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
			const status = response.statusCode ?? 0;
			if (status < minFinalStatus) {
				response.destroy();
				const detail = `Status ${status} ends no request.`;
				resolve(err({kind: 'lost', sent: true, detail}));
				return;
			}

			resolve(ok({status, response, toHttpError, countBody}));
		});
		request.end(options.body);
	});
}

/** Whether an error says that nothing listens at the address. */
export const isRefusedConnection = (error: Error): boolean =>
	(error as NodeJS.ErrnoException).code === 'ECONNREFUSED';

/** Starts the limits on a response's time; `giveUp` is called with the reason when one is exceeded. */
function startResponseLimits(
	{timeoutMs, silenceMs, onArrival}: HttpRequest,
	giveUp: (detail: string) => void,
) {
	let arrivalCount = 0;
	let isStopped = false;
	const timer = setTimeout(() => {
		giveUp(`No answer within ${timeoutMs} ms.`);
	}, timeoutMs);
	const silenceTimer =
		silenceMs === undefined
			? undefined
			: setTimeout(() => {
					const countBefore = arrivalCount;
					// A process that did not run for a while first reads what has arrived.
					setImmediate(() => {
						if (!isStopped && arrivalCount === countBefore) {
							giveUp(`No byte of the answer for ${silenceMs} ms.`);
						}
					});
				}, silenceMs);
	return {
		recordArrival() {
			arrivalCount++;
			silenceTimer?.refresh();
			onArrival?.();
		},
		stop() {
			isStopped = true;
			clearTimeout(timer);
			clearTimeout(silenceTimer);
		},
	};
}

function selectErrorKind(
	error: Error,
	{
		isTimedOut,
		isConnected,
		isAborted,
	}: {
		isTimedOut: boolean;
		isConnected: boolean;
		isAborted: boolean | undefined;
	},
): HttpError['kind'] {
	if (isTimedOut) {
		return 'timeout';
	}

	if (isAborted) {
		return 'aborted';
	}

	if (isConnected) {
		return 'lost';
	}

	return isRefusedConnection(error) ? 'refused' : 'connect';
}

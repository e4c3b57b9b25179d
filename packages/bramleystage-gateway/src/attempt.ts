/**
 * One attempt of a request at a backend server, on a connection of its own. A
 * new connection has no unread bytes of an earlier answer, and a server that
 * closes idle connections cannot make it unclear whether the request ran.
 */
import type {IncomingMessage} from 'node:http';
import {
	isRefusedConnection,
	isWritableHeader,
	listHeaders,
	minFinalStatus,
	openHttpRequest,
	parseAddress,
	registerAnswerGuard,
} from 'bramleystage';
import {type HeldAnswer, HeldAnswers} from './held-answers.js';
import type {Headers} from './platform-port.js';

export type AttemptRequest = {
	/** `host:port` of the backend server. */
	readonly address: string;
	readonly method: string;
	readonly target: string;
	readonly headers: Headers;
	readonly body: Buffer;
	/** Timeout for opening the connection, in milliseconds. */
	readonly connectTimeoutMs: number;
	/** Whether an answer of this status is held until it is complete, and its length bounded. */
	readonly isHeld: (status: number) => boolean;
	/** Resolves to whether the server has ended since; asked when only the end of its connection delimits an answer. */
	readonly hasServerEnded: () => Promise<boolean>;
};

export type AttemptFailure = {
	/** False only if the server cannot have seen the request. */
	readonly isSent: boolean;
	/** Whether nothing listens at the server's address. */
	readonly isRefused: boolean;
	readonly detail: string;
};

export type AnswerHead = {
	readonly status: number;
	readonly headers: Headers;
};

/** Exactly one of `onEnd` and `onFail` is called, unless the attempt is cancelled. */
export type AttemptHandlers = {
	readonly onHead: (head: AnswerHead) => void;
	/** A held answer arrives as one chunk. */
	readonly onData: (chunk: Buffer) => void;
	/** The answer is complete. */
	readonly onEnd: () => void;
	readonly onFail: (failure: AttemptFailure) => void;
};

export type Attempt = {
	/** Closes the connection; no handler is called afterwards. */
	readonly cancel: () => void;
	readonly isSent: () => boolean;
};

const heldAnswers = new HeldAnswers();

/** Sends a request and reports its answer or failure to the handlers. */
export function openAttempt(
	request: AttemptRequest,
	handlers: AttemptHandlers,
): Attempt {
	let isSent = false;
	let isFinished = false;
	let wasReset = false;
	let held: HeldAnswer | undefined;
	const finish = (action: () => void) => {
		if (!isFinished) {
			isFinished = true;
			clearTimeout(connectTimer);
			if (held) {
				heldAnswers.remove(held);
			}

			action();
		}
	};

	const {host, port} = parseAddress(request.address);
	const opened = openHttpRequest({
		host,
		port,
		method: request.method,
		path: request.target,
		agent: false,
		headers: buildHeaders(request),
	});
	if (opened.isErr()) {
		return rejectUnsent(opened.error.message, handlers);
	}

	const outgoing = opened.value;
	const fail = (detail: string, isRefused = false) => {
		finish(() => {
			outgoing.destroy();
			handlers.onFail({isSent, isRefused, detail});
		});
	};

	const connectTimer = setTimeout(() => {
		fail(`No connection within ${request.connectTimeoutMs} ms.`);
	}, request.connectTimeoutMs);
	outgoing.on('socket', (socket) => {
		// Node reports a reset that arrives together with the last bytes as an
		// ordinary end, but a socket that was reset no longer has a remote address.
		socket.prependOnceListener('end', () => {
			wasReset = socket.remoteAddress === undefined;
		});
		socket.once('connect', () => {
			isSent = true;
			clearTimeout(connectTimer);
		});
	});
	const countBody = registerAnswerGuard(outgoing, fail);
	outgoing.on('error', (error) => {
		fail(error.message, !isSent && isRefusedConnection(error));
	});
	outgoing.on('response', (response) => {
		if (isFinished) {
			return;
		}

		const status = response.statusCode ?? 0;
		if (status < minFinalStatus) {
			fail(`Status ${status} ends no request.`);
			return;
		}

		const headers = listHeaders(response);
		handlers.onHead({status, headers});
		if (!isFinished && request.isHeld(status)) {
			held = heldAnswers.register(fail);
		}

		listenForBody(response, {
			handleData(chunk) {
				countBody(chunk.length);
				if (isFinished) {
					return;
				}

				if (held) {
					heldAnswers.append(held, chunk);
				} else {
					handlers.onData(chunk);
				}
			},
			async handleEnd() {
				if (isUnframed(response) && (await request.hasServerEnded())) {
					fail('The server ended with its answer.');
					return;
				}

				finish(() => {
					if (held) {
						handlers.onData(held.body.take());
					}

					handlers.onEnd();
				});
			},
			isComplete: () =>
				response.complete &&
				!(isUnframed(response) && (wasReset || hasUnreadableField(headers))),
			fail,
		});
	});
	outgoing.end(request.body);
	return {
		cancel() {
			finish(() => {
				outgoing.destroy();
			});
		},
		isSent: () => isSent,
	};
}

/** Reports the failure of a request that could not be written, once the caller has its attempt. */
function rejectUnsent(detail: string, {onFail}: AttemptHandlers): Attempt {
	const immediate = setImmediate(() => {
		onFail({isSent: false, isRefused: false, detail});
	});
	return {
		cancel() {
			clearImmediate(immediate);
		},
		isSent: () => false,
	};
}

function listenForBody(
	response: IncomingMessage,
	state: {
		handleData: (chunk: Buffer) => void;
		isComplete: () => boolean;
		handleEnd: () => Promise<void>;
		fail: (detail: string) => void;
	},
) {
	let hasEnded = false;
	response.on('data', state.handleData);
	response.on('end', () => {
		if (state.isComplete()) {
			hasEnded = true;
			void state.handleEnd();
		} else {
			state.fail('The answer was truncated.');
		}
	});
	response.on('error', (error) => {
		state.fail(error.message);
	});
	response.on('close', () => {
		if (!hasEnded) {
			state.fail('The connection closed during the answer.');
		}
	});
}

/** Whether the field that gives the length of the answer may be among those that can't be read. */
const hasUnreadableField = (headers: Headers): boolean =>
	!headers.every((header) => isWritableHeader(header));

/** Whether the answer is delimited only by the end of the connection. */
const isUnframed = ({headers}: IncomingMessage) =>
	headers['content-length'] === undefined &&
	headers['transfer-encoding'] === undefined;

/** Builds a flat list of alternating header names and values, with the body's length. */
function buildHeaders({method, headers, body}: AttemptRequest): string[] {
	const flat = headers.flat();
	if (body.length > 0 || method !== 'GET') {
		flat.push('Content-Length', String(body.length));
	}

	flat.push('Connection', 'close');
	return flat;
}

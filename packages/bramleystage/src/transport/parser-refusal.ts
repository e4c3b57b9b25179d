/**
 * Refusals of requests that Node's parser can't read. The refusal is written only where the
 * caller takes it for the answer to that request: behind the answers of the requests before
 * it on its connection, never in place of one or inside it.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {createFailure, type Failure} from '../protocol/result-codes.js';
import {formatRawErrorResponse} from './raw-response.js';

type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
};

/** Time for which a refused caller may go on to send before its connection is closed, in milliseconds. */
const lingerMs = 1000;

/** Refuses what the parser of a server can't read; `recordRefusal` gets each refusal. */
export function registerParserRefusals(
	server: Server,
	recordRefusal: (failure: Failure) => void = () => undefined,
): void {
	const exchanges = new WeakMap<Socket, Set<Exchange>>();
	const refused = new WeakSet<Socket>();
	server.prependListener('request', (request, response) => {
		const open = exchanges.get(request.socket) ?? new Set();
		const exchange = {request, response};
		open.add(exchange);
		exchanges.set(request.socket, open);
		response.once('close', () => {
			open.delete(exchange);
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
		const socket = stream as Socket;
		if (!socket.writable || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		if (refused.has(socket)) {
			return;
		}

		refused.add(socket);
		const failure = createParserFailure(error);
		recordRefusal(failure);
		const open = [...(exchanges.get(socket) ?? [])];
		const last = open.at(-1);
		if (last && !last.request.complete && last.response.headersSent) {
			// Its answer is under way, and the rest of its body can't be read.
			socket.destroy();
			return;
		}

		// The last request is the one that can't be read if its body isn't complete.
		const before = last?.request.complete ? open : open.slice(0, -1);
		refuseAfter(before, socket, failure);
	});
}

/** Writes a refusal once the answers before it have ended. */
function refuseAfter(
	before: readonly Exchange[],
	socket: Socket,
	failure: Failure,
): void {
	const [first, ...others] = before;
	if (first) {
		first.response.once('close', () => {
			refuseAfter(others, socket, failure);
		});
		return;
	}

	if (!socket.writable) {
		socket.destroy();
		return;
	}

	socket.end(formatRawErrorResponse(failure));
	// A connection that is closed with unread bytes is reset, and the refusal lost.
	socket.resume();
	const timer = setTimeout(() => {
		socket.destroy();
	}, lingerMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
}

function createParserFailure({code}: NodeJS.ErrnoException): Failure {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW': {
			return createFailure('headersTooLarge', 'The headers are too large.');
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return createFailure('bodyTimeout', 'The headers arrived too slowly.');
		}

		default: {
			return createFailure('badHttp', 'The request is not valid HTTP.');
		}
	}
}

/**
 * Refusals of connections whose requests are not read. A process that can't read as fast as
 * callers arrive refuses most of them without parsing, at about half the cost.
 */
import type {Socket} from 'node:net';
import {type Failure, formatRawErrorResponse} from 'bramleystage';

/** Time after which a refused caller's connection is closed if the caller does not, in milliseconds. */
const lingerMs = 1000;

/** Answers a connection with a refusal as soon as its request begins to arrive, and closes it once the caller does. */
export function refuseUnread(socket: Socket, failure: Failure): void {
	const timer = setTimeout(() => {
		socket.destroy();
	}, lingerMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
	socket.on('error', () => {
		// The caller disconnected; `close` follows.
	});
	socket.once('data', () => {
		socket.end(formatRawErrorResponse(failure));
		// A connection that is closed with unread bytes is reset, and the refusal lost.
		socket.resume();
	});
}

/** Responses to requests that the entry rejects. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Failure} from 'bramleystage';
import {writeFailure} from './caller-response.js';

/**
 * How long a rejected caller may continue to send before its connection is
 * closed, in milliseconds. Closing it earlier may lose the response in transit.
 */
const lingerMs = 1000;

/** Responds to a rejected request and discards the rest of its body. */
export function rejectMessage(
	message: IncomingMessage,
	response: ServerResponse,
	failure: Failure,
): void {
	writeFailure(response, failure);
	if (message.complete) {
		return;
	}

	const timer = setTimeout(() => {
		message.destroy();
	}, lingerMs);
	message.once('close', () => {
		clearTimeout(timer);
	});
	message.resume();
}

/** Answers to requests that the entry does not take. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Failure} from 'bramleystage';
import {writeFailure} from './answers.js';

/**
 * How long a rejected sender may go on sending before its connection ends, in
 * milliseconds. Ending it earlier may lose the answer on its way.
 */
const lingerMs = 1000;

/** Answers a request that is not taken; what it still sends is discarded. */
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

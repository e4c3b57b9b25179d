/** Error responses that the gateway itself sends to callers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {buildErrorBody, type Failure, selectStatus} from 'bramleystage';

/** How long a refused caller may go on to send its body before its connection is closed, in milliseconds. */
const lingerMs = 1000;

/**
 * Refuses a request whose body may still be arriving, and discards the rest. The response
 * is written at once but ended later: a connection that Node closes with unread bytes is
 * reset, and the refusal lost.
 */
export function refuseWhileArriving(
	request: IncomingMessage,
	response: ServerResponse,
	failure: Failure,
	isClosing: boolean,
): void {
	request.resume();
	if (!tryWriteFailure(response, failure, isClosing)) {
		return;
	}

	if (request.complete) {
		response.end();
		return;
	}

	const end = () => {
		clearTimeout(timer);
		response.end();
	};

	const timer = setTimeout(end, lingerMs);
	request.once('end', end);
	request.once('close', end);
}

/** Writes a failure as the response, or closes the connection if the head has already been sent. */
export function writeErrorResponse(
	response: ServerResponse,
	failure: Failure,
	isClosing: boolean,
): void {
	if (tryWriteFailure(response, failure, isClosing)) {
		response.end();
	}
}

/** Writes a failure without ending the response; closes the connection and returns false if the head has already been sent. */
function tryWriteFailure(
	response: ServerResponse,
	failure: Failure,
	isClosing: boolean,
): boolean {
	if (response.destroyed || response.writableEnded) {
		return false;
	}

	if (response.headersSent) {
		// An answer that ends early must not look complete.
		response.destroy();
		return false;
	}

	const body = Buffer.from(JSON.stringify(buildErrorBody(failure)));
	const {retryAfterSeconds} = failure;
	response.writeHead(selectStatus(failure), {
		'content-type': 'application/json',
		'content-length': body.length,
		...(retryAfterSeconds !== undefined && {
			'retry-after': String(retryAfterSeconds),
		}),
		...(isClosing && {connection: 'close'}),
	});
	response.write(body);
	return true;
}

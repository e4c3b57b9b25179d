/** Final answers to callers that the gateway gives by itself. */
import type {ServerResponse} from 'node:http';
import {buildErrorBody, type Failure, resultCodes} from 'bramleystage';

/** Writes a failure, or breaks off an answer whose head is already out. */
export function writeFinalFailure(
	response: ServerResponse,
	failure: Failure,
	isClosing: boolean,
): void {
	if (response.destroyed || response.writableEnded) {
		return;
	}

	if (response.headersSent) {
		// An answer that ends early must not look whole.
		response.destroy();
		return;
	}

	const body = Buffer.from(JSON.stringify(buildErrorBody(failure)));
	const {retryAfterSeconds} = failure;
	response.writeHead(resultCodes[failure.result].status, {
		'content-type': 'application/json',
		'content-length': body.length,
		...(retryAfterSeconds !== undefined && {
			'retry-after': String(retryAfterSeconds),
		}),
		...(isClosing && {connection: 'close'}),
	});
	response.end(body);
}

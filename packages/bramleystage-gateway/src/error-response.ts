/** Error responses that the gateway itself sends to callers. */
import type {ServerResponse} from 'node:http';
import {buildErrorBody, type Failure, selectStatus} from 'bramleystage';

/** Writes a failure as the response, or closes the connection if the head has already been sent. */
export function writeErrorResponse(
	response: ServerResponse,
	failure: Failure,
	isClosing: boolean,
): void {
	if (response.destroyed || response.writableEnded) {
		return;
	}

	if (response.headersSent) {
		// An answer that ends early must not look complete.
		response.destroy();
		return;
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
	response.end(body);
}

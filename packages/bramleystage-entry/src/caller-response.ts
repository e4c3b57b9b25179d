/** Error responses to callers, with result code, outcome and detail. */
import type {ServerResponse} from 'node:http';
import {
	buildErrorBody,
	type Failure,
	selectStatus,
	writeJson,
} from 'bramleystage';

/**
 * Writes an error response; on an event stream that has started, its last
 * event.
 */
export function writeFailure(response: ServerResponse, failure: Failure): void {
	if (response.destroyed || response.writableEnded) {
		return;
	}

	const body = buildErrorBody(failure);
	if (response.headersSent) {
		response.end(`data: ${JSON.stringify(body)}\n\n`);
		return;
	}

	const headers: Record<string, string> =
		failure.retryAfterSeconds === undefined
			? {}
			: {'retry-after': String(Math.ceil(failure.retryAfterSeconds))};
	writeJson(response, selectStatus(failure), body, headers);
}

/**
 * Calls a function once, when the caller disconnects or the response is complete,
 * or at once if the caller has already disconnected. The managers of requests
 * ignore the event of a request that has ended.
 */
export function registerResponseClose(
	response: ServerResponse,
	onClose: () => void,
): void {
	if (response.destroyed) {
		onClose();
	} else {
		response.once('close', onClose);
	}
}

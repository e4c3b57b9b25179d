/** Error answers to callers: the numbered code, the outcome and the detail. */
import type {ServerResponse} from 'node:http';
import {
	buildErrorBody,
	type Failure,
	resultCodes,
	writeJson,
} from 'bramleystage';

/** Writes an error answer; on an open event stream, as its last event. */
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
	writeJson(response, resultCodes[failure.result].status, body, headers);
}

/** Calls a function once if the caller is gone or goes before the answer is whole. */
export function registerCallerGone(
	response: ServerResponse,
	onGone: () => void,
): void {
	if (response.destroyed) {
		onGone();
	} else {
		response.once('close', onGone);
	}
}

/** Responses that are written to a socket itself, as Node has no response object for them. */
import http from 'node:http';
import {
	buildErrorBody,
	type Failure,
	selectStatus,
} from '../protocol/result-codes.js';

/** Formats the response to a request that Node's parser rejected or never saw; it ends the connection. */
export function formatRawErrorResponse(failure: Failure): string {
	const status = selectStatus(failure);
	const body = JSON.stringify(buildErrorBody(failure));
	return [
		`HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}`,
		'content-type: application/json; charset=utf-8',
		`content-length: ${Buffer.byteLength(body)}`,
		...(failure.retryAfterSeconds === undefined
			? []
			: [`retry-after: ${failure.retryAfterSeconds}`]),
		'connection: close',
		'',
		body,
	].join('\r\n');
}

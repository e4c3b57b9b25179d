/** Timeout that a caller may set in a header. */
import type {IncomingMessage} from 'node:http';
import {createFailure, type Failure} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';

/** Header with the maximum time that the caller waits, in milliseconds. */
export const timeoutHeader = 'x-request-timeout-ms';

/** Parses the header; a value above the maximum is reduced to it. */
export function parseTimeout(
	{headers}: Pick<IncomingMessage, 'headers'>,
	maxTimeoutMs: number,
): Result<number, Failure> {
	const text = headers[timeoutHeader];
	if (text === undefined) {
		return ok(maxTimeoutMs);
	}

	const requestedMs = Number(text);
	return Number.isFinite(requestedMs) && requestedMs > 0
		? ok(Math.min(requestedMs, maxTimeoutMs))
		: err(createFailure('badRequest', `${timeoutHeader}: must be above 0`));
}

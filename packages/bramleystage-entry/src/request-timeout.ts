/** The deadline that a caller may ask for in a header. */
import type {IncomingMessage} from 'node:http';
import {createFailure, type Failure} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';

/** Header with the time that the caller waits, in milliseconds. */
export const timeoutHeader = 'x-request-timeout-ms';

/** Parses the header; a longer time than the longest allowed is cut to it. */
export function parseTimeout(
	{headers}: Pick<IncomingMessage, 'headers'>,
	longestMs: number,
): Result<number, Failure> {
	const text = headers[timeoutHeader];
	if (text === undefined) {
		return ok(longestMs);
	}

	const asked = Number(text);
	return Number.isFinite(asked) && asked > 0
		? ok(Math.min(asked, longestMs))
		: err(createFailure('badRequest', `${timeoutHeader}: must be above 0`));
}

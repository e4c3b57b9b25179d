/**
 * Heads of HTTP messages that are passed on. Node's parser accepts names, values
 * and targets for which its writer throws, so what was received is checked before it
 * is written. An unwritable field of an answer is left out; a request with one is
 * refused, as the server might read another request than the one that was sent.
 */
import http, {
	type ClientRequest,
	type IncomingMessage,
	type RequestOptions,
	type ServerResponse,
} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

/** Names and values in the order of arrival. */
export type HeaderPairs = ReadonlyArray<readonly [string, string]>;

/** Lowest status that ends a request; those below are informational. */
export const minFinalStatus = 200;

/** Headers that concern one connection only, and the announcement of trailers, which are not passed on. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

/** A token of RFC 9110, section 5.6.2. */
const namePattern = /^(?:[\w!#$%'*+.^`\|~\-]|&)+$/v;
const valuePattern = /^[\t\u0020-\u007E\u0080-\u00FF]*$/v;
const targetPattern = /^[\u0021-\u00FF]+$/v;
const plainTextPattern = /^[\u0020-\u007E]*$/v;
const controlPattern = /\p{Cc}/gv;

/** Whether Node writes a header without throwing. */
export const isWritableHeader = ([name, value]: readonly [
	string,
	string,
]): boolean => namePattern.test(name) && valuePattern.test(value);

/** Describes what keeps a request from being sent on; undefined if nothing does. */
export function describeUnwritableHead(
	message: IncomingMessage,
): string | undefined {
	if (!targetPattern.test(message.url ?? '')) {
		return 'The target has characters that are not allowed.';
	}

	const unwritable = listHeaders(message).find(
		(header) => !isWritableHeader(header),
	);
	return (
		unwritable && `The header ${JSON.stringify(unwritable[0])} is invalid.`
	);
}

/** Returns the headers of a message, in the order of arrival. */
export function listHeaders(message: IncomingMessage): Array<[string, string]> {
	const pairs: Array<[string, string]> = [];
	for (let index = 0; index + 1 < message.rawHeaders.length; index += 2) {
		pairs.push([
			message.rawHeaders[index] ?? '',
			message.rawHeaders[index + 1] ?? '',
		]);
	}

	return pairs;
}

/** Formats any text as a header's value: UTF-8, with control characters percent-encoded. */
export const formatHeaderValue = (text: string): string =>
	plainTextPattern.test(text)
		? text
		: Buffer.from(
				text.replaceAll(controlPattern, (character) =>
					encodeURIComponent(character),
				),
			).toString('latin1');

/**
 * Writes the head of an answer that is passed on, with the headers that the process
 * itself adds. Returns the names of the headers that can't be written and are left out.
 */
export function writeForwardedHead(
	response: ServerResponse,
	status: number,
	received: HeaderPairs,
	added: HeaderPairs = [],
): readonly string[] {
	const passedOn = received.filter(
		([name]) => !hopByHopHeaders.has(name.toLowerCase()),
	);
	response.writeHead(
		status,
		[...passedOn.filter((pair) => isWritableHeader(pair)), ...added].flat(),
	);
	return passedOn
		.filter((pair) => !isWritableHeader(pair))
		.map(([name]) => name);
}

/** Opens a request; returns the error if Node rejects its head, and sends nothing then. */
export function openHttpRequest(
	options: RequestOptions,
	url?: string,
): Result<ClientRequest, Error> {
	try {
		return ok(
			url === undefined ? http.request(options) : http.request(url, options),
		);
	} catch (error) {
		return err(error as Error);
	}
}

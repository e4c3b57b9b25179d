/** What a request has in common with others, as far as that may end backend servers. */
import {createHash} from 'node:crypto';
import {type RequestTraits, toRequestTrait} from 'bramleystage';
import type {Call} from './call.js';

/** Characters of a content's hash; two contents have the same one by chance in 1 of 2^64 pairs. */
const hashLength = 16;

/** Beginning of the traits that name the whole content of a service's requests. */
export const formatContentPrefix = ({service}: Call): string =>
	`${service.name} content `;

/**
 * Builds the traits of a request: the parts of its prompt, or its whole content if it
 * names no parts. The last part is the request's or its session's own.
 */
export function buildRequestTraits(call: Call): RequestTraits {
	const parts = call.metadata.promptParts.map((part) =>
		toRequestTrait(`${call.service.name} part ${part}`),
	);
	const own = parts.at(-1);
	if (own) {
		return {shared: [...new Set(parts.slice(0, -1))], forms: [own], own};
	}

	const content = buildContentTrait(call);
	return {shared: [], forms: [content], own: content};
}

/** Names of what repeats of a request have in common, for the log: the same path, caller and body, and the same target with its query. */
export function describeContent(call: Call): {content: string; target: string} {
	const [path = ''] = call.target.split('?', 1);
	const body = computeHash(call.body);
	return {
		content: computeHash(
			JSON.stringify([path, call.holder?.customer ?? '', body]),
		),
		target: computeHash(call.target),
	};
}

/** Computes a place from 0 to below 1 from the hash of a text. */
export const computeHashPlace = (text: string): number =>
	createHash('sha256').update(text).digest().readUInt32BE() / 2 ** 32;

const computeHash = (...data: ReadonlyArray<string | Buffer>): string => {
	const hash = createHash('sha256');
	for (const item of data) {
		hash.update(item);
	}

	return hash.digest('hex').slice(0, hashLength);
};

const buildContentTrait = (call: Call) => {
	const hash = computeHash(`${call.method} ${call.target}\n`, call.body);
	return toRequestTrait(`${formatContentPrefix(call)}${hash}`);
};

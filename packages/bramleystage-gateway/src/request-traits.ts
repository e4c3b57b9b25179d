/**
 * What a request has in common with others, as far as that may end backend servers.
 * Repeats are told by path, caller and body, whatever else of them differs. As other
 * requests may have the same three, such as look-ups that differ only in their query,
 * there are narrower forms beside this one.
 */
import {createHash} from 'node:crypto';
import {
	type RequestTrait,
	type RequestTraits,
	toRequestTrait,
} from 'bramleystage';
import type {Call} from './call.js';

/** Characters of a content's hash; two contents have the same one by chance in 1 of 2^64 pairs. */
const hashLength = 16;
/** Parameters of a query that have a form of their own, the first ones. */
const maxParameters = 6;

/** Beginning of the traits that name the content of a service's requests. */
export const formatContentPrefix = ({service}: Call): string =>
	`${service.name} content `;

/**
 * Builds the traits of a request: the parts of its prompt, and the forms of its content.
 * The last part is the request's or its session's own. Prompts may be told by their parts
 * alone, so that the content of a request that names parts counts like a part that
 * others share.
 */
export function buildRequestTraits(call: Call): RequestTraits {
	const parts = call.metadata.promptParts.map((part) =>
		toRequestTrait(`${call.service.name} part ${part}`),
	);
	const ownPart = parts.at(-1);
	const contentForms = buildContentForms(call);
	const [repeat] = contentForms;
	if (ownPart) {
		const others = new Set(parts.slice(0, -1));
		return {
			shared: call.body.length > 0 ? [...others, repeat] : [...others],
			forms: [ownPart],
			own: ownPart,
		};
	}

	return {
		shared: [],
		forms: contentForms,
		own: contentForms.at(-1) ?? repeat,
	};
}

/** Names of what repeats of a request have in common, for the log: the same path, caller and body, and the same target with its query. */
export function describeContent(call: Call): {content: string; target: string} {
	const {path, caller, body} = splitContent(call);
	return {
		content: computeHash(JSON.stringify([path, caller, body])),
		target: computeHash(call.target),
	};
}

/** Computes a place from 0 to below 1 from the hash of a text. */
export const computeHashPlace = (text: string): number =>
	createHash('sha256').update(text).digest().readUInt32BE() / 2 ** 32;

const computeHash = (data: string | Buffer): string =>
	createHash('sha256').update(data).digest('hex').slice(0, hashLength);

function splitContent({target, holder, body}: Call) {
	const [path = '', ...rest] = target.split('?');
	return {
		path,
		query: rest.join('?'),
		caller: holder?.customer ?? '',
		body: computeHash(body),
	};
}

/**
 * Builds the forms of a request's content, from the widest to the narrowest: same path,
 * caller and body; in addition the same names of parameters, or one of them with its
 * value; the same target from any caller; all of it.
 */
function buildContentForms(call: Call): [RequestTrait, ...RequestTrait[]] {
	const {path, query, caller, body} = splitContent(call);
	const buildForm = (kind: string, ...facts: readonly string[]) =>
		toRequestTrait(
			`${formatContentPrefix(call)}${kind} ${computeHash(JSON.stringify([...facts, body]))}`,
		);
	const parameters = query === '' ? [] : query.split('&');
	const names = parameters.map((item) => item.split('=', 1)[0] ?? '');
	return [
		buildForm('repeat', path, caller),
		...(query === ''
			? []
			: [buildForm('names', path, caller, ...names.toSorted())]),
		...(parameters.length > 1
			? parameters
					.slice(0, maxParameters)
					.map((item) => buildForm('parameter', path, caller, item))
			: []),
		buildForm('target', path, query),
		buildForm('exact', call.method, path, query, caller),
	];
}

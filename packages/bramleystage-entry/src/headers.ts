/**
 * Header selection for plain service calls; hop-by-hop headers are not
 * forwarded.
 */
import {type HeaderPairs, hopByHopHeaders} from 'bramleystage';

/** Request headers for the entry only: the caller's key, host and framing. */
const entryOnlyHeaders = new Set([
	'authorization',
	'host',
	'content-length',
	'expect',
]);

/** Selects the request headers to forward to the backend server. */
export const selectRequestHeaders = (pairs: HeaderPairs) =>
	selectHeaders(pairs, (name) => !entryOnlyHeaders.has(name));

/** Selects the response headers to return to the caller. */
export const selectResponseHeaders = (pairs: HeaderPairs) =>
	selectHeaders(pairs, (name) => name !== 'content-length');

function selectHeaders(
	pairs: HeaderPairs,
	isForwarded: (name: string) => boolean,
): Array<[string, string]> {
	const named = listConnectionHeaders(pairs);
	return pairs
		.filter(([name]) => {
			const lower = name.toLowerCase();
			return (
				!hopByHopHeaders.has(lower) && !named.has(lower) && isForwarded(lower)
			);
		})
		.map(([name, value]) => [name, value]);
}

/** Lists the headers that a `Connection` header names: they are hop-by-hop too. */
function listConnectionHeaders(pairs: HeaderPairs): Set<string> {
	const values = pairs
		.filter(([name]) => name.toLowerCase() === 'connection')
		.flatMap(([, value]) => value.split(','));
	return new Set(values.map((value) => value.trim().toLowerCase()));
}

/** Headers of plain service calls: hop-by-hop ones are not passed on. */

const hopByHop = new Set([
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

/** The caller's own key and framing stay with the entry. */
const entryOnly = new Set([
	'authorization',
	'host',
	'content-length',
	'expect',
]);

type HeaderPairs = ReadonlyArray<readonly [string, string]>;

/** Selects the headers that go on to the backend server. */
export const selectRequestHeaders = (pairs: HeaderPairs) =>
	selectHeaders(pairs, (name) => !entryOnly.has(name));

/** Selects the headers that go back to the caller. */
export const selectAnswerHeaders = (pairs: HeaderPairs) =>
	selectHeaders(pairs, (name) => name !== 'content-length');

function selectHeaders(
	pairs: HeaderPairs,
	isWanted: (name: string) => boolean,
): Array<[string, string]> {
	const named = listConnectionHeaders(pairs);
	return pairs
		.filter(([name]) => {
			const lower = name.toLowerCase();
			return !hopByHop.has(lower) && !named.has(lower) && isWanted(lower);
		})
		.map(([name, value]) => [name, value]);
}

function listConnectionHeaders(pairs: HeaderPairs): Set<string> {
	const values = pairs
		.filter(([name]) => name.toLowerCase() === 'connection')
		.flatMap(([, value]) => value.split(','));
	return new Set(values.map((value) => value.trim().toLowerCase()));
}

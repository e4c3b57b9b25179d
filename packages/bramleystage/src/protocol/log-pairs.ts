/** Format of log lines: key=value pairs, with values quoted as JSON strings where needed. */

/** Fields of an event; undefined values are omitted. */
export type LogFields = Readonly<
	Record<string, string | number | boolean | undefined>
>;

/** Formats a value, quoted if it is empty or has spaces, quotes, equals signs or control characters. */
export function formatValue(value: string | number | boolean): string {
	const text = String(value);
	return /^[^\s"=\p{Cc}]+$/v.test(text) ? text : JSON.stringify(text);
}

/** Formats the pairs of one line. */
export function formatPairs(fields: LogFields): string {
	return Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${formatValue(value ?? '')}`)
		.join(' ');
}

/** Parses the pairs of a line; text outside of pairs is ignored. */
export function parsePairs(line: string): Readonly<Record<string, string>> {
	const pairs: Record<string, string> = {};
	for (const match of line.matchAll(/(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]+)/gv)) {
		const [, key = '', value = ''] = match;
		pairs[key] = value.startsWith('"') ? parseQuoted(value) : value;
	}

	return pairs;
}

/** Parses a quoted value; an invalid one, such as a truncated one, is returned as is. */
function parseQuoted(value: string): string {
	try {
		return String(JSON.parse(value));
	} catch {
		return value;
	}
}

/** The form of a log line: key=value pairs, values quoted as JSON where needed. */

/** Values of an event; undefined ones are left out. */
export type LogFields = Readonly<
	Record<string, string | number | boolean | undefined>
>;

/** Formats a value; quotes it when it has spaces, quotes, equals signs or control characters. */
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

/** Parses the pairs of a line; what stands before the first pair is left out. */
export function parsePairs(line: string): Readonly<Record<string, string>> {
	const pairs: Record<string, string> = {};
	for (const match of line.matchAll(/(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]+)/gv)) {
		const [, key = '', value = ''] = match;
		pairs[key] = value.startsWith('"') ? parseQuoted(value) : value;
	}

	return pairs;
}

/** Parses a quoted value; one that was cut short is given as it stands. */
function parseQuoted(value: string): string {
	try {
		return String(JSON.parse(value));
	} catch {
		return value;
	}
}

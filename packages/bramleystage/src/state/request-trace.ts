/**
 * Trace of one request from the log lines of several processes: the lines that
 * name the request, and as context the lines of the same processes about
 * changes of their state (such as a backend server avoided) from shortly before
 * the request to its end.
 */
import {parsePairs} from '../protocol/log-pairs.js';

export type TraceLine = {
	/** Unix time, in milliseconds. */
	readonly at: number;
	readonly host: string;
	readonly event: string;
	readonly fields: Readonly<Record<string, string>>;
	/** Whether the line names the request; otherwise it is context. */
	readonly isOwn: boolean;
};

/** Context starts this long before the request, in milliseconds. */
const contextLeadMs = 5000;

/** Fields left out of a line's details: common to all lines, or naming the request. */
const commonFields = new Set([
	'time',
	'level',
	'event',
	'role',
	'host',
	'request',
]);

function parseLine(line: string, request: string): TraceLine | undefined {
	const fields = parsePairs(line);
	const at = Date.parse(fields.time ?? '');
	const {event, host} = fields;
	return Number.isNaN(at) || event === undefined
		? undefined
		: {
				at,
				host: host ?? '',
				event,
				fields,
				isOwn: fields.request === request,
			};
}

/** Selects the lines of a request and its context, ordered by time. */
export function selectTrace(
	lines: readonly string[],
	request: string,
): TraceLine[] {
	const parsed = lines.flatMap((line) => parseLine(line, request) ?? []);
	const ownLines = parsed.filter(({isOwn}) => isOwn);
	const hosts = new Set(ownLines.map(({host}) => host));
	const times = ownLines.map(({at}) => at);
	const durations = ownLines.map(({fields}) => Number(fields.duration_ms ?? 0));
	const from = Math.min(...times) - Math.max(0, ...durations) - contextLeadMs;
	const to = Math.max(...times);
	const targets = ownLines.map(({fields}) => fields.where ?? '').join(',');
	const isContext = ({at, host, fields}: TraceLine) =>
		fields.request === undefined &&
		hosts.has(host) &&
		at >= from &&
		at <= to &&
		isRelevant(fields, targets);
	return parsed
		.filter((line) => line.isOwn || isContext(line))
		.toSorted((a, b) => a.at - b.at);
}

/** Checks that a context line has no address, or one that the request was sent to. */
function isRelevant(
	fields: Readonly<Record<string, string>>,
	targets: string,
): boolean {
	const {address} = fields;
	return address === undefined || targets.includes(address);
}

/** Formats a trace, one line an event, with the time since the request's first line. */
export function formatTrace(trace: readonly TraceLine[]): string {
	const start = trace.find(({isOwn}) => isOwn)?.at ?? 0;
	return trace
		.map(({at, host, event, fields, isOwn}) => {
			const details = Object.entries(fields)
				.filter(([key]) => !commonFields.has(key))
				.map(([key, value]) => `${key}=${value}`)
				.join(' ');
			const time = `${at - start} ms`.padStart(9);
			return `${isOwn ? '*' : ' '} ${time}  ${host}  ${event}  ${details}`;
		})
		.join('\n');
}

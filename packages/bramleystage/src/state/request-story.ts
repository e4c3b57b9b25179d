/**
 * The story of one request from the log lines of several processes: its own
 * lines, and what its processes came to believe shortly before and meanwhile.
 */
import {parsePairs} from '../protocol/log-pairs.js';

export type StoryLine = {
	/** Unix time, in milliseconds. */
	readonly at: number;
	readonly host: string;
	readonly event: string;
	readonly fields: Readonly<Record<string, string>>;
	/** Whether the line is about the request itself. */
	readonly isOwn: boolean;
};

/** Beliefs that were formed so long before the request's first line may explain it, in milliseconds. */
const beforeMs = 5000;

/** Fields that every line has, or that name the request. */
const commonFields = new Set([
	'time',
	'level',
	'event',
	'role',
	'host',
	'request',
]);

function parseLine(line: string, request: string): StoryLine | undefined {
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

/** Selects the lines that tell a request's story, in the order of their times. */
export function selectStory(
	lines: readonly string[],
	request: string,
): StoryLine[] {
	const parsed = lines.flatMap((line) => parseLine(line, request) ?? []);
	const own = parsed.filter(({isOwn}) => isOwn);
	const hosts = new Set(own.map(({host}) => host));
	const times = own.map(({at}) => at);
	const durations = own.map(({fields}) => Number(fields.duration_ms ?? 0));
	const from = Math.min(...times) - Math.max(0, ...durations) - beforeMs;
	const to = Math.max(...times);
	const places = own.map(({fields}) => fields.where ?? '').join(',');
	const isContext = ({at, host, fields}: StoryLine) =>
		fields.request === undefined &&
		hosts.has(host) &&
		at >= from &&
		at <= to &&
		isAbout(fields, places);
	return parsed
		.filter((line) => line.isOwn || isContext(line))
		.toSorted((a, b) => a.at - b.at);
}

/** Whether a belief is about the whole process, or about a place that the request was sent to. */
function isAbout(
	fields: Readonly<Record<string, string>>,
	places: string,
): boolean {
	const {address} = fields;
	return address === undefined || places.includes(address);
}

/** Formats a story: a line for each event, with the time since the first one. */
export function formatStory(story: readonly StoryLine[]): string {
	const start = story.find(({isOwn}) => isOwn)?.at ?? 0;
	return story
		.map(({at, host, event, fields, isOwn}) => {
			const rest = Object.entries(fields)
				.filter(([key]) => !commonFields.has(key))
				.map(([key, value]) => `${key}=${value}`)
				.join(' ');
			const time = `${at - start} ms`.padStart(9);
			return `${isOwn ? '*' : ' '} ${time}  ${host}  ${event}  ${rest}`;
		})
		.join('\n');
}

/** Logs: one line of key=value pairs for each event, by winston. */
import winston from 'winston';

export const logLevels = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof logLevels)[number];

/** Values of an event; undefined ones are left out. */
export type LogFields = Readonly<
	Record<string, string | number | boolean | undefined>
>;

export type Logger = {
	error(event: string, fields?: LogFields): void;
	warn(event: string, fields?: LogFields): void;
	info(event: string, fields?: LogFields): void;
	debug(event: string, fields?: LogFields): void;
};

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

/** Creates a logger to standard error whose lines all carry the given fields. */
export function createLogger(level: LogLevel, common: LogFields): Logger {
	const logger = winston.createLogger({
		level,
		format: winston.format.printf((info) => String(info.message)),
		transports: [
			new winston.transports.Console({stderrLevels: [...logLevels]}),
		],
	});
	const write =
		(lineLevel: LogLevel) =>
		(event: string, fields: LogFields = {}) => {
			if (logger.isLevelEnabled(lineLevel)) {
				const time = new Date().toISOString();
				const message = formatPairs({
					time,
					level: lineLevel,
					event,
					...common,
					...fields,
				});
				logger.log(lineLevel, message);
			}
		};

	return {
		error: write('error'),
		warn: write('warn'),
		info: write('info'),
		debug: write('debug'),
	};
}

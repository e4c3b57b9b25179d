/** Logs: one line of key=value pairs for each event, by winston. */
import type {Writable} from 'node:stream';
import winston from 'winston';
import {formatPairs, type LogFields} from '../protocol/log-pairs.js';

export const logLevels = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof logLevels)[number];

export type Logger = {
	error(event: string, fields?: LogFields): void;
	warn(event: string, fields?: LogFields): void;
	info(event: string, fields?: LogFields): void;
	debug(event: string, fields?: LogFields): void;
};

/** Creates a logger whose lines all carry the given fields; to standard error if no output is given. */
export function createLogger(
	level: LogLevel,
	common: LogFields,
	output?: Writable,
): Logger {
	const logger = winston.createLogger({
		level,
		format: winston.format.printf((info) => String(info.message)),
		transports: [
			output
				? new winston.transports.Stream({stream: output})
				: new winston.transports.Console({stderrLevels: [...logLevels]}),
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

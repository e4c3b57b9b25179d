/** Logging with winston: one line of key=value pairs for each event. */
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

/**
 * Creates a logger that adds the common fields to each line; it writes to
 * standard error if no output is given.
 */
export function createLogger(
	level: LogLevel,
	commonFields: LogFields,
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
	const createLogMethod =
		(methodLevel: LogLevel) =>
		(event: string, fields: LogFields = {}) => {
			if (logger.isLevelEnabled(methodLevel)) {
				const time = new Date().toISOString();
				const message = formatPairs({
					time,
					level: methodLevel,
					event,
					...commonFields,
					...fields,
				});
				logger.log(methodLevel, message);
			}
		};

	return {
		error: createLogMethod('error'),
		warn: createLogMethod('warn'),
		info: createLogMethod('info'),
		debug: createLogMethod('debug'),
	};
}

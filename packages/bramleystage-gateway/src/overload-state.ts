/** State of a service of which calls are refused because this gateway can't begin them in time. */
import type {ServiceName} from 'bramleystage';

/** How the calls of a service go on while some are refused; times are in milliseconds. */
export type OverloadState = {
	readonly service: ServiceName;
	readonly refused: number;
	readonly waiting: number;
	readonly running: number;
	/** Calls that may run at a time; infinite if the servers set no limit. */
	readonly limit: number;
	/** Time between the beginnings of two calls. */
	readonly intervalMs: number;
	/** Length of the last round of reading and beginning. */
	readonly roundMs: number;
};

/** Checks of a request that need nothing of its body. */
import type {IncomingMessage} from 'node:http';
import {
	createFailure,
	type CustomerId,
	type Failure,
	type TableView,
} from 'bramleystage';
import {findCustomer} from './authentication.js';
import {parseTimeout} from './request-timeout.js';
import {checkRoute} from './route-check.js';

/** What the entry knows when a request arrives. */
export type ArrivalContext = {
	readonly view: TableView;
	readonly leaving: boolean;
	/** Set when the table is too old to take work by. */
	readonly stale: Failure | undefined;
	/** Deadline of a request that names none, in milliseconds. */
	readonly longestMs: number;
};

export type Arrival = {
	readonly customer: CustomerId | undefined;
	readonly deadlineMs: number;
	/** Why the request is not taken, if it is not. */
	readonly failure: Failure | undefined;
};

/** Checks key, path, method, deadline and whether the entry takes requests now. */
export function checkArrival(
	message: IncomingMessage,
	{view, leaving, stale, longestMs}: ArrivalContext,
): Arrival {
	const customer = findCustomer(message.headers.authorization, view);
	const deadline = parseTimeout(message, longestMs);
	const stopping = leaving
		? createFailure('stopping', 'The entry is stopping.', {
				retryAfterSeconds: 1,
			})
		: undefined;
	return {
		customer: customer.unwrapOr(undefined),
		deadlineMs: deadline.unwrapOr(longestMs),
		failure:
			customer.match(
				() => undefined,
				(failure) => failure,
			) ??
			stopping ??
			checkRoute(message) ??
			deadline.match(
				() => undefined,
				(failure) => failure,
			) ??
			stale,
	};
}

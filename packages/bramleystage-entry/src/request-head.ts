/** Checks of a request that need only its request line and headers. */
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

/** State of the entry when a request arrives. */
export type RequestHeadContext = {
	readonly view: TableView;
	readonly isDraining: boolean;
	/** Set while the table is too stale to accept work. */
	readonly staleTableFailure: Failure | undefined;
	/** Maximum timeout, and the default of requests without one, in milliseconds. */
	readonly maxTimeoutMs: number;
};

export type RequestHeadCheck = {
	/** Undefined if the bearer key is missing or unknown. */
	readonly customer: CustomerId | undefined;
	/** Time from the arrival of the request to its deadline. */
	readonly deadlineMs: number;
	/** Reason for the rejection of the request, if any. */
	readonly failure: Failure | undefined;
};

/**
 * Checks the bearer key, the entry's own state, path, method and timeout of a
 * request. If several checks fail, the first failure in this order is returned:
 * key, draining, path or method, timeout, stale table.
 */
export function checkRequestHead(
	message: IncomingMessage,
	{view, isDraining, staleTableFailure, maxTimeoutMs}: RequestHeadContext,
): RequestHeadCheck {
	const customer = findCustomer(message.headers.authorization, view);
	const deadline = parseTimeout(message, maxTimeoutMs);
	const drainingFailure = isDraining
		? createFailure('stopping', 'The entry is stopping.', {
				retryAfterSeconds: 1,
			})
		: undefined;
	return {
		customer: customer.unwrapOr(undefined),
		deadlineMs: deadline.unwrapOr(maxTimeoutMs),
		failure:
			customer.match(
				() => undefined,
				(failure) => failure,
			) ??
			drainingFailure ??
			checkRoute(message) ??
			deadline.match(
				() => undefined,
				(failure) => failure,
			) ??
			staleTableFailure,
	};
}

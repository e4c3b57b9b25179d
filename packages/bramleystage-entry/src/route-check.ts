/** Paths that callers may request, and the methods that they accept. */
import type {IncomingMessage} from 'node:http';
import {createFailure, type Failure} from 'bramleystage';

const pathMethods = new Map([
	['/v1/models', 'GET'],
	['/v1/chat/completions', 'POST'],
	['/v1/completions', 'POST'],
]);

/** Checks path and method before the body is read. */
export function checkRoute(message: IncomingMessage): Failure | undefined {
	const [path = ''] = (message.url ?? '/').split('?');
	if (path.startsWith('/v1/services/')) {
		return undefined;
	}

	const method = pathMethods.get(path);
	if (method === undefined) {
		return createFailure('unknownPath', `Unknown path ${path}.`);
	}

	return method === message.method
		? undefined
		: createFailure('methodNotAllowed', `The path accepts only ${method}.`);
}

/** Paths of the callers' port and the methods that they take. */
import type {IncomingMessage} from 'node:http';
import {createFailure, type Failure} from 'bramleystage';

const pathMethods = new Map([
	['/v1/models', 'GET'],
	['/v1/chat/completions', 'POST'],
	['/v1/completions', 'POST'],
]);

/** Checks path and method, before anything of the body is read. */
export function checkRoute(message: IncomingMessage): Failure | undefined {
	const [path = ''] = (message.url ?? '/').split('?');
	if (path.startsWith('/v1/services/')) {
		return undefined;
	}

	const method = pathMethods.get(path);
	if (method === undefined) {
		return createFailure('unknownPath', `No path ${path}.`);
	}

	return method === message.method
		? undefined
		: createFailure('methodNotAllowed', `Use ${method}.`);
}

/**
 * The callers' port: finds the customer of each request, refuses what can't be
 * taken, reads the body within its bounds and hands the request to its route.
 */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	createFailure,
	type CustomerId,
	defaultHttpBounds,
	type EntrySettings,
	type Failure,
	type HttpHandler,
	readBody,
	type TableView,
	toRequestId,
	writeJson,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import {writeFailure} from './answers.js';
import {findCustomer} from './authentication.js';
import {
	type ModelRouteOptions,
	type RouteContext,
	runModelRoute,
} from './model-route.js';
import {runServiceRoute, type ServiceRouteOptions} from './service-route.js';

export type CallerPortOptions = {
	readonly settings: Pick<
		EntrySettings,
		'deployment' | 'maxBodyBytes' | 'requestTimeoutMs'
	>;
	readonly isReady: () => boolean;
	readonly isLeaving: () => boolean;
	/** Gives the failure for new work while the table is too old. */
	readonly findStaleness: () => Failure | undefined;
	readonly readView: () => TableView;
	/** Counts a request that is taken. */
	readonly recordRequest: () => void;
	readonly models: ModelRouteOptions;
	readonly services: ServiceRouteOptions;
};

const timeoutHeader = 'x-request-timeout-ms';

const pathMethods = new Map([
	['/v1/models', 'GET'],
	['/v1/chat/completions', 'POST'],
	['/v1/completions', 'POST'],
]);

/** Creates the handler of every request that callers send. */
export function createCallerHandler(options: CallerPortOptions): HttpHandler {
	const {maxBodyBytes, requestTimeoutMs} = options.settings;
	const bounds = {...defaultHttpBounds, maxBodyBytes};
	return async (message, response) => {
		if (message.url === '/healthz' || message.url === '/readyz') {
			const isOk = message.url === '/healthz' || options.isReady();
			writeJson(response, isOk ? 200 : 503, {ok: isOk});
			return;
		}

		const request = toRequestId(randomUUID());
		response.setHeader('x-request-id', request);
		const view = options.readView();
		const customer = findTaker(options, message, view);
		if (customer.isErr()) {
			rejectMessage(message, response, customer.error);
			return;
		}

		const body = await readBody(message, bounds);
		if (body.isErr()) {
			rejectMessage(message, response, body.error);
			return;
		}

		options.recordRequest();
		const context: RouteContext = {
			request,
			customer: customer.value,
			view,
			deadlineMs: parseTimeout(message, requestTimeoutMs),
			response,
		};
		await sendToRoute(options, message, context, body.value);
	};
}

/** Finds the customer of a request, or why it can't be taken at all. */
function findTaker(
	{isLeaving, findStaleness}: CallerPortOptions,
	message: IncomingMessage,
	view: TableView,
): Result<CustomerId, Failure> {
	const customer = findCustomer(message.headers.authorization, view);
	if (customer.isErr()) {
		return err(customer.error);
	}

	if (isLeaving()) {
		const failure = createFailure('stopping', 'The entry is stopping.', {
			retryAfterSeconds: 1,
		});
		return err(failure);
	}

	const stale = findStaleness();
	return stale ? err(stale) : ok(customer.value);
}

async function sendToRoute(
	options: CallerPortOptions,
	message: IncomingMessage,
	context: RouteContext,
	body: Buffer,
): Promise<void> {
	const {response} = context;
	const [path = ''] = (message.url ?? '/').split('?');
	if (path.startsWith('/v1/services/')) {
		await runServiceRoute(options.services, context, message, body);
		return;
	}

	const method = pathMethods.get(path);
	if (method === undefined) {
		writeFailure(response, createFailure('unknownPath', `No path ${path}.`));
	} else if (method !== message.method) {
		const failure = createFailure('methodNotAllowed', `Use ${method}.`);
		writeFailure(response, failure);
	} else if (path === '/v1/models') {
		writeModels(options, context);
	} else {
		const kind = path === '/v1/completions' ? 'completion' : 'chat';
		await runModelRoute(options.models, context, kind, body.toString());
	}
}

function writeModels(
	{settings}: CallerPortOptions,
	{response, view}: RouteContext,
): void {
	const data = [...view.models.keys()].map((id) => ({
		id,
		object: 'model',
		created: 0,
		owned_by: settings.deployment,
	}));
	writeJson(response, 200, {object: 'list', data});
}

/** Answers a request that is not taken; the rest of its body is not read. */
function rejectMessage(
	message: IncomingMessage,
	response: ServerResponse,
	failure: Failure,
): void {
	if (!message.complete) {
		response.setHeader('connection', 'close');
	}

	writeFailure(response, failure);
}

function parseTimeout(message: IncomingMessage, longestMs: number): number {
	const asked = Number(message.headers[timeoutHeader] ?? longestMs);
	return asked > 0 ? Math.min(asked, longestMs) : longestMs;
}

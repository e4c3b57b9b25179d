/**
 * The callers' port: finds the customer of each request, refuses what can't be
 * taken, reads the body within its bounds and hands the request to its route.
 */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {
	createFailure,
	type EntrySettings,
	type Failure,
	type HttpBounds,
	type HttpHandler,
	type Logger,
	readBody,
	type TableView,
	toRequestId,
	writeJson,
} from 'bramleystage';
import {checkArrival} from './arrival.js';
import type {Audit} from './audit.js';
import {
	type ModelRouteOptions,
	type RouteContext,
	runModelRoute,
} from './model-route.js';
import {rejectMessage} from './rejection.js';
import {runServiceRoute, type ServiceRouteOptions} from './service-route.js';

export type CallerPortOptions = {
	readonly settings: Pick<EntrySettings, 'deployment' | 'requestTimeoutMs'>;
	readonly bounds: HttpBounds;
	readonly audit: Audit;
	readonly logger: Logger;
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

/** Subject of requests that were not taken to a route. */
const noSubject = 'none';

/** Creates the handler of every request that callers send. */
export function createCallerHandler(options: CallerPortOptions): HttpHandler {
	return async (message, response) => {
		if (message.url === '/healthz' || message.url === '/readyz') {
			const isOk = message.url === '/healthz' || options.isReady();
			writeJson(response, isOk ? 200 : 503, {ok: isOk});
			return;
		}

		const request = toRequestId(randomUUID());
		response.setHeader('x-request-id', request);
		const view = options.readView();
		const {customer, deadlineMs, failure} = checkArrival(message, {
			view,
			leaving: options.isLeaving(),
			stale: options.findStaleness(),
			longestMs: options.settings.requestTimeoutMs,
		});
		const reject = (reason: Failure) => {
			options.audit.recordRejected({request, customer}, noSubject, reason);
			rejectMessage(message, response, reason);
		};

		if (customer === undefined || failure !== undefined) {
			reject(failure ?? createFailure('unauthorized', ''));
			return;
		}

		const body = await readBody(message, options.bounds);
		if (body.isErr()) {
			reject(body.error);
			return;
		}

		options.recordRequest();
		const {url} = message;
		options.logger.debug('request.received', {request, customer, url});
		const context = {request, customer, view, deadlineMs, response};
		await sendToRoute(options, message, context, body.value);
	};
}

async function sendToRoute(
	options: CallerPortOptions,
	message: IncomingMessage,
	context: RouteContext,
	body: Buffer,
): Promise<void> {
	const [path = ''] = (message.url ?? '/').split('?');
	if (path.startsWith('/v1/services/')) {
		await runServiceRoute(options.services, context, message, body);
		return;
	}

	if (path === '/v1/models') {
		writeModels(options, context);
	} else {
		const kind = path === '/v1/completions' ? 'completion' : 'chat';
		await runModelRoute(options.models, context, kind, body.toString());
	}
}

function writeModels(
	{settings, audit}: CallerPortOptions,
	context: RouteContext,
): void {
	const data = [...context.view.models.keys()].map((id) => ({
		id,
		object: 'model',
		created: 0,
		owned_by: settings.deployment,
	}));
	writeJson(context.response, 200, {object: 'list', data});
	audit.recordAnswered(context, 'models');
}

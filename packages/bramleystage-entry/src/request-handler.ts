/**
 * Handles callers' HTTP requests: authenticates the customer, rejects invalid
 * requests, reads the body within its bounds and runs the route of the path.
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
import {checkRequestHead} from './request-head.js';
import type {Audit} from './audit.js';
import {
	type ModelRouteOptions,
	type RequestContext,
	runModelRoute,
} from './model-route.js';
import {rejectMessage} from './rejection.js';
import {runServiceRoute, type ServiceRouteOptions} from './service-route.js';

export type RequestHandlerOptions = {
	readonly settings: Pick<EntrySettings, 'deployment' | 'requestTimeoutMs'>;
	readonly bounds: HttpBounds;
	readonly audit: Audit;
	readonly logger: Logger;
	readonly isReady: () => boolean;
	readonly isDraining: () => boolean;
	/** Returns the failure for new work while the table is stale, else undefined. */
	readonly findStaleTableFailure: () => Failure | undefined;
	readonly readView: () => TableView;
	/** Counts an accepted request, for the retry budget. */
	readonly recordRequest: () => void;
	readonly modelRoute: ModelRouteOptions;
	readonly serviceRoute: ServiceRouteOptions;
};

/** Subject in the records of requests that reached no route. */
const unroutedSubject = 'none';

/** Creates the handler of all requests to the callers' address. */
export function createRequestHandler(
	options: RequestHandlerOptions,
): HttpHandler {
	return async (message, response) => {
		if (message.url === '/healthz' || message.url === '/readyz') {
			const isOk = message.url === '/healthz' || options.isReady();
			writeJson(response, isOk ? 200 : 503, {ok: isOk});
			return;
		}

		const request = toRequestId(randomUUID());
		response.setHeader('x-request-id', request);
		const view = options.readView();
		const {customer, deadlineMs, failure} = checkRequestHead(message, {
			view,
			isDraining: options.isDraining(),
			staleTableFailure: options.findStaleTableFailure(),
			maxTimeoutMs: options.settings.requestTimeoutMs,
		});
		const reject = (reason: Failure) => {
			options.audit.recordRejected(
				{request, customer},
				unroutedSubject,
				reason,
			);
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
		await runRoute(options, message, context, body.value);
	};
}

async function runRoute(
	options: RequestHandlerOptions,
	message: IncomingMessage,
	context: RequestContext,
	body: Buffer,
): Promise<void> {
	const [path = ''] = (message.url ?? '/').split('?');
	if (path.startsWith('/v1/services/')) {
		await runServiceRoute(options.serviceRoute, context, message, body);
		return;
	}

	if (path === '/v1/models') {
		writeModels(options, context);
	} else {
		const kind = path === '/v1/completions' ? 'completion' : 'chat';
		await runModelRoute(options.modelRoute, context, kind, body.toString());
	}
}

function writeModels(
	{settings, audit}: RequestHandlerOptions,
	context: RequestContext,
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

/**
 * The callers' port: checks each request as it arrives, reads its body within
 * the bounds and hands it to its route. Every request ends in one audit record.
 */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {
	createFailure,
	defaultHttpBounds,
	type EntrySettings,
	type Failure,
	type HttpHandler,
	type Logger,
	readBody,
	type TableView,
	toRequestId,
	writeJson,
} from 'bramleystage';
import {type ArrivalContext, checkArrival} from './arrival.js';
import type {Audit} from './audit.js';
import {
	type ModelRouteOptions,
	type RouteContext,
	runModelRoute,
} from './model-route.js';
import {rejectMessage} from './rejection.js';
import {runServiceRoute, type ServiceRouteOptions} from './service-route.js';

export type CallerPortOptions = {
	readonly settings: Pick<
		EntrySettings,
		'bodyTimeoutMs' | 'deployment' | 'maxBodyBytes' | 'requestTimeoutMs'
	>;
	readonly logger: Logger;
	readonly audit: Audit;
	readonly isReady: () => boolean;
	/** What is known when a request arrives, but for the longest deadline. */
	readonly readArrivalContext: () => Omit<ArrivalContext, 'longestMs'>;
	/** Counts a request that is taken. */
	readonly recordRequest: () => void;
	readonly models: ModelRouteOptions;
	readonly services: ServiceRouteOptions;
};

/** Subject of requests that reach no route: paths would be labels without bound. */
const noSubject = 'none';

/** Gives the bounds of callers' requests. */
export const selectBounds = ({
	maxBodyBytes,
	bodyTimeoutMs,
}: CallerPortOptions['settings']) => ({
	...defaultHttpBounds,
	maxBodyBytes,
	bodyTimeoutMs,
});

/** Creates the handler of every request that callers send. */
export function createCallerHandler(options: CallerPortOptions): HttpHandler {
	const {settings, audit, logger} = options;
	const bounds = selectBounds(settings);
	return async (message, response) => {
		const url = message.url ?? '/';
		if (url === '/healthz' || url === '/readyz') {
			const isOk = url === '/healthz' || options.isReady();
			writeJson(response, isOk ? 200 : 503, {ok: isOk});
			return;
		}

		const request = toRequestId(randomUUID());
		response.setHeader('x-request-id', request);
		const known = options.readArrivalContext();
		const longestMs = settings.requestTimeoutMs;
		const arrival = checkArrival(message, {...known, longestMs});
		const {customer, deadlineMs, failure} = arrival;
		const reject = (reason: Failure) => {
			audit.recordRejected({request, customer}, noSubject, reason);
			rejectMessage(message, response, reason);
		};

		if (customer === undefined || failure !== undefined) {
			reject(failure ?? createFailure('unauthorized', ''));
			return;
		}

		const body = await readBody(message, bounds);
		if (body.isErr()) {
			reject(body.error);
			return;
		}

		options.recordRequest();
		logger.debug('request.received', {request, customer, url});
		const {view} = known;
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
	} else if (path === '/v1/models') {
		const data = listModels(context.view, options.settings.deployment);
		writeJson(context.response, 200, {object: 'list', data});
		options.audit.recordAnswered(context, path);
	} else {
		const kind = path === '/v1/completions' ? 'completion' : 'chat';
		await runModelRoute(options.models, context, kind, body.toString());
	}
}

const listModels = ({models}: TableView, deployment: string) =>
	[...models.keys()].map((id) => ({
		id,
		object: 'model',
		created: 0,
		owned_by: deployment,
	}));

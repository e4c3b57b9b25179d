/**
 * Route of `/v1/services/<service>/<path>`, any method: calls of plain
 * services.
 */
import type {IncomingMessage} from 'node:http';
import {
	type CallAnswer,
	createFailure,
	type Failure,
	isNotRunStatus,
	listHeaders,
	type Logger,
	type ServiceCells,
	toServiceName,
	writeForwardedHead,
} from 'bramleystage';
import {registerResponseClose, writeFailure} from './caller-response.js';
import type {Audit} from './audit.js';
import type {PermitSource} from './entry-limits.js';
import {selectResponseHeaders, selectRequestHeaders} from './headers.js';
import type {RequestContext} from './model-route.js';
import type {
	ServiceCallManager,
	ServiceRequest,
} from './service-call-manager.js';

export type ServiceRouteOptions = {
	readonly calls: ServiceCallManager;
	readonly audit: Audit;
	readonly logger: Logger;
	readonly readClock: () => number;
	readonly limits: PermitSource;
};

const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);
const defaultWeight = 1;
const defaultPriority = 5;

/** Splits `/v1/services/<service>/<path>?<query>`. */
export function parseServicePath(
	url: string,
): {service: string; path: string} | undefined {
	const match = /^\/v1\/services\/(?<service>[^\/?]+)(?<path>.*)$/sv.exec(url);
	const {service, path = ''} = match?.groups ?? {};
	if (service === undefined) {
		return undefined;
	}

	return {
		service: decodeServiceName(service),
		path: path.startsWith('/') ? path : `/${path}`,
	};
}

function decodeServiceName(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		return text;
	}
}

/**
 * Whether a call may be retried: depends on its method, unless the service's
 * row overrides it.
 */
export function isIdempotent(
	method: string,
	path: string,
	cells: ServiceCells,
): boolean {
	const matches = (prefixes: readonly string[]) =>
		prefixes.some((prefix) => path.startsWith(prefix));
	if (matches(cells.non_idempotent_paths)) {
		return false;
	}

	return matches(cells.idempotent_paths) || idempotentMethods.has(method);
}

/**
 * Starts one service call; its response is written and recorded when the call
 * ends.
 */
export async function runServiceRoute(
	options: ServiceRouteOptions,
	context: RequestContext,
	message: IncomingMessage,
	body: Buffer,
): Promise<void> {
	const route = parseServicePath(message.url ?? '/');
	const service = toServiceName(route?.service ?? '');
	const cells = context.view.services.get(service);
	if (!route || !cells) {
		const failure = createFailure(
			'unknownService',
			`The table has no service ${service}.`,
		);
		writeFailure(context.response, failure);
		options.audit.recordRejected(context, 'service', failure);
		return;
	}

	const call = buildCall(context, message, body, {
		...route,
		service,
		cells,
	});
	const permits = await options.limits.acquire({
		customer: context.customer,
		subject: {kind: 'service', name: service},
		tokens: 0,
	});
	if (permits.isErr()) {
		const failure = permits.error;
		writeFailure(context.response, failure);
		options.audit.recordRejected(context, service, failure);
		return;
	}

	const startedAt = options.readClock();
	options.calls.start({
		call,
		onEnd(end, {attempts, target: lastTarget}) {
			permits.value();
			const result = 'result' in end ? end : checkPromise(end);
			const failure = 'result' in result ? result : undefined;
			if ('result' in result) {
				writeFailure(context.response, result);
			} else {
				writeServiceResponse(context, result, options.logger);
			}

			recordEnd(options, context, {
				subject: service,
				failure,
				attempts,
				pipeline: lastTarget?.host ?? '',
				durationMs: options.readClock() - startedAt,
			});
		},
	});
	registerResponseClose(context.response, () => {
		options.calls.handle(context.request, {type: 'callerDisconnected'});
	});
}

/** Replaces an answer whose status would tell the caller that the call has not run, which a service does not show. */
const checkPromise = (answer: CallAnswer): CallAnswer | Failure =>
	isNotRunStatus(answer.status)
		? createFailure('backendLost', `The service answered ${answer.status}.`)
		: answer;

function buildCall(
	{request, customer, view, deadlineMs}: RequestContext,
	message: IncomingMessage,
	body: Buffer,
	route: {
		service: ReturnType<typeof toServiceName>;
		path: string;
		cells: ServiceCells;
	},
): ServiceRequest['call'] {
	const method = message.method ?? 'GET';
	const customerCells = view.customers.get(customer);
	const idempotencyKey = message.headers['idempotency-key'];
	return {
		type: 'call',
		request,
		customer,
		service: route.service,
		weight: customerCells?.weight ?? defaultWeight,
		priority: customerCells?.priority ?? defaultPriority,
		idempotent: isIdempotent(method, route.path, route.cells),
		idempotencyKey:
			typeof idempotencyKey === 'string' ? idempotencyKey : undefined,
		method,
		path: route.path,
		headers: selectRequestHeaders(listHeaders(message)),
		body,
		deadlineMs: Math.min(deadlineMs, route.cells.timeout_ms ?? deadlineMs),
	};
}

function writeServiceResponse(
	{response, request}: RequestContext,
	answer: CallAnswer,
	logger: Logger,
): void {
	if (response.destroyed) {
		return;
	}

	const headers = selectResponseHeaders(answer.headers);
	const omitted = writeForwardedHead(response, answer.status, headers, [
		['content-length', String(answer.body.length)],
	]);
	if (omitted.length > 0) {
		logger.warn('answer.header_omitted', {
			request,
			headers: omitted.join(', '),
		});
	}

	response.end(answer.body);
}

function recordEnd(
	{audit}: ServiceRouteOptions,
	{request, customer}: RequestContext,
	end: {
		subject: string;
		failure: Failure | undefined;
		attempts: number;
		pipeline: string;
		durationMs: number;
	},
): void {
	audit.record({request, customer, ...end});
}

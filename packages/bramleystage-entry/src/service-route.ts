/** `ANY /v1/services/<service>/<path>`: calls of plain services. */
import type {IncomingMessage} from 'node:http';
import {
	type CallAnswer,
	createFailure,
	type Failure,
	listHeaders,
	type ServiceCells,
	toServiceName,
} from 'bramleystage';
import {registerCallerGone, writeFailure} from './answers.js';
import type {Audit} from './audit.js';
import type {AcquirePermits} from './entry-limits.js';
import {selectAnswerHeaders, selectRequestHeaders} from './headers.js';
import type {RouteContext} from './model-route.js';
import type {ServiceDesk, ServiceRequest} from './service-desk.js';

export type ServiceRouteOptions = {
	readonly desk: ServiceDesk;
	readonly audit: Audit;
	readonly readClock: () => number;
	readonly limits: AcquirePermits;
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
		service: decodeName(service),
		path: path.startsWith('/') ? path : `/${path}`,
	};
}

function decodeName(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		return text;
	}
}

/** Tells whether a call may be repeated: by its method, unless the row says otherwise. */
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

/** Runs one call to its end. */
export async function runServiceRoute(
	options: ServiceRouteOptions,
	context: RouteContext,
	message: IncomingMessage,
	body: Buffer,
): Promise<void> {
	const target = parseServicePath(message.url ?? '/');
	const service = toServiceName(target?.service ?? '');
	const cells = context.view.services.get(service);
	if (!target || !cells) {
		const failure = createFailure(
			'unknownService',
			`No service ${service} in the table.`,
		);
		writeFailure(context.response, failure);
		options.audit.recordRejected(context, 'service', failure);
		return;
	}

	const call = buildCall(context, message, body, {
		...target,
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
	options.desk.start({
		call,
		finish(result, {attempts, target: last}) {
			permits.value();
			const failure = 'result' in result ? result : undefined;
			if ('result' in result) {
				writeFailure(context.response, result);
			} else {
				writeAnswer(context, result);
			}

			recordEnd(options, context, {
				subject: service,
				failure,
				attempts,
				pipeline: last?.host ?? '',
				durationMs: options.readClock() - startedAt,
			});
		},
	});
	registerCallerGone(context.response, () => {
		options.desk.handle(context.request, {type: 'callerGone'});
	});
}

function buildCall(
	{request, customer, view, deadlineMs}: RouteContext,
	message: IncomingMessage,
	body: Buffer,
	target: {
		service: ReturnType<typeof toServiceName>;
		path: string;
		cells: ServiceCells;
	},
): ServiceRequest['call'] {
	const method = message.method ?? 'GET';
	const customerCells = view.customers.get(customer);
	const key = message.headers['idempotency-key'];
	return {
		type: 'call',
		request,
		customer,
		service: target.service,
		weight: customerCells?.weight ?? defaultWeight,
		priority: customerCells?.priority ?? defaultPriority,
		idempotent: isIdempotent(method, target.path, target.cells),
		idempotencyKey: typeof key === 'string' ? key : undefined,
		method,
		path: target.path,
		headers: selectRequestHeaders(listHeaders(message)),
		body,
		deadlineMs: Math.min(deadlineMs, target.cells.timeout_ms ?? deadlineMs),
	};
}

function writeAnswer({response}: RouteContext, answer: CallAnswer): void {
	if (response.destroyed) {
		return;
	}

	const headers = selectAnswerHeaders(answer.headers);
	response.writeHead(answer.status, [
		...headers.flat(),
		'content-length',
		String(answer.body.length),
	]);
	response.end(answer.body);
}

function recordEnd(
	{audit}: ServiceRouteOptions,
	{request, customer}: RouteContext,
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

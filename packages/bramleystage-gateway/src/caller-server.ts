/** HTTP server for callers: resolves route, customer and service of each request, and reads its body. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	buildRouteIndex,
	createFailure,
	describeUnwritableHead,
	type Failure,
	findRoute,
	type GatewayService,
	type KeyHolder,
	type LifeCycle,
	listHeaders,
	type Logger,
	pickRouteTarget,
	type Route,
	type RouteIndex,
	type RoutingConfiguration,
	startServer,
	waitFor,
	registerParserRefusals,
} from 'bramleystage';
import {refuseWhileArriving} from './error-response.js';
import type {BodyBudget} from './body-budget.js';
import {readCallBody} from './body-reader.js';
import type {CallAdmission} from './call-admission.js';
import {CallerConnection} from './caller-connection.js';
import type {CallMetadata, HeaderPort} from './platform-port.js';
import type {RequestRecorder} from './request-recorder.js';
import {refuseUnread} from './unread-refusal.js';

export type CallerServerOptions = {
	/** `host:port`. */
	readonly address: string;
	readonly headers: HeaderPort;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readConfiguration: () => RoutingConfiguration | undefined;
	readonly admission: CallAdmission;
	readonly bodyBudget: BodyBudget;
	readonly recorder: Pick<
		RequestRecorder,
		'recordEarlyRefusal' | 'recordUnreadRefusal'
	>;
	readonly isStopping: () => boolean;
	readonly drawRandom: () => number;
	readonly readClock: () => number;
};

/** Header bytes that the parser accepts; more than any configuration allows. */
const parserHeaderBytes = 64 * 1024;
/** Time for which an idle connection stays open beyond the configured timeout, on which callers rely, in milliseconds. */
const keepAliveSlackMs = 1000;
/** Time that callers are assumed to have left if their requests are not read, in milliseconds. */
const unreadRemainingMs = 3000;
/** Connections that the kernel accepts beyond those that the process has taken; further ones must try again. */
const backlog = 1024;
/** Idle timeout until a configuration is known, in milliseconds. */
const defaultIdleTimeoutMs = 15_000;

type CallerExchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly caller: CallerConnection;
};

type RoutedRequest = {
	readonly route: Route;
	readonly service: GatewayService;
	readonly holder?: KeyHolder;
	readonly metadata: CallMetadata;
};

export type CallerServer = {
	/** Counts the requests whose head was read and whose answer has not ended. */
	readonly countOpenRequests: () => number;
	/** Accepts no further connections, and waits until the requests that are arriving on open ones were answered. */
	readonly drain: (timeoutMs: number) => Promise<void>;
	/** Applies the routes and the timeouts of a configuration. */
	readonly update: (configuration: RoutingConfiguration) => void;
};

/** Listens for callers. */
export async function listenForCallers(
	options: CallerServerOptions,
): Promise<CallerServer> {
	let index: RouteIndex = new Map();
	let openRequests = 0;
	const server = http.createServer(
		{
			maxHeaderSize: parserHeaderBytes,
			keepAliveTimeout: defaultIdleTimeoutMs + keepAliveSlackMs,
			requestTimeout: 0,
			noDelay: true,
		},
		(request, response) => {
			const caller = resolveCaller(request.socket);
			let isOpen = true;
			const recordEnd = () => {
				openRequests -= isOpen ? 1 : 0;
				isOpen = false;
				unregisterLeave();
			};

			openRequests++;
			// A response behind another one of its connection is not closed with it.
			const unregisterLeave = caller.registerLeave(recordEnd);
			response.once('close', recordEnd);
			void handleRequest(options, index, {request, response, caller});
		},
	);
	registerParserRefusals(server, (failure) => {
		options.recorder.recordEarlyRefusal(failure, undefined);
	});
	const callers = new WeakMap<Socket, CallerConnection>();
	const resolveCaller = (socket: Socket): CallerConnection => {
		const known = callers.get(socket);
		if (known) {
			return known;
		}

		const acceptance = options.admission.arrivals.recordConnection(
			options.readClock(),
		);
		const caller = new CallerConnection(socket, acceptance);
		callers.set(socket, caller);
		return caller;
	};

	// Node's own listener serves the connections that are not refused unread.
	const serveListeners = server.listeners('connection');
	server.removeAllListeners('connection');
	server.on('connection', (socket) => {
		resolveCaller(socket);
		if (options.admission.isFlooded) {
			options.recorder.recordUnreadRefusal();
			refuseUnread(
				socket,
				options.admission.buildUnreadFailure(unreadRemainingMs),
			);
			return;
		}

		for (const serve of serveListeners) {
			serve.call(server, socket);
		}
	});
	await startServer(server, options.address, {
		logger: options.logger,
		backlog,
	});
	options.lifeCycle.register(() => {
		server.close();
		server.closeAllConnections();
	});
	return {
		countOpenRequests: () => openRequests,
		async drain(timeoutMs) {
			const closed = new Promise<void>((resolve) => {
				server.close(() => {
					resolve();
				});
			});
			await Promise.race([closed, waitFor(timeoutMs)]);
		},
		update(configuration) {
			index = buildRouteIndex(configuration.routes);
			server.keepAliveTimeout =
				configuration.bounds.idleTimeoutMs + keepAliveSlackMs;
			server.headersTimeout = configuration.bounds.headerTimeoutMs;
		},
	};
}

async function handleRequest(
	options: CallerServerOptions,
	index: RouteIndex,
	{request, response, caller}: CallerExchange,
): Promise<void> {
	const readAt = options.readClock();
	const arrivedAt = options.admission.arrivals.recordRequest(
		caller.acceptance,
		readAt,
	);
	response.on('error', () => {
		// The caller disconnected; `close` follows and ends the request.
	});
	request.on('error', () => {
		response.destroy();
	});
	const unwritable = describeUnwritableHead(request);
	if (unwritable) {
		const failure = createFailure('badHttp', unwritable);
		options.recorder.recordEarlyRefusal(failure, undefined);
		refuseWhileArriving(request, response, failure, true);
		return;
	}

	const configuration = options.readConfiguration();
	if (!configuration) {
		const failure = createFailure(
			'tableStale',
			'No configuration is known yet.',
			{retryAfterSeconds: 0.5},
		);
		refuseWhileArriving(request, response, failure, options.isStopping());
		return;
	}

	const routed = resolveRoute(options, configuration, index, request);
	if ('result' in routed) {
		refuseWhileArriving(request, response, routed, options.isStopping());
		return;
	}

	const body = await readCallBody(
		request,
		response,
		configuration.bounds.maxBodyBytes,
		options.bodyBudget,
	);
	if (body.isErr()) {
		const failure = body.error;
		const isTooLarge = failure.result === 'bodyTooLarge';
		options.recorder.recordEarlyRefusal(failure, routed.metadata.request);
		refuseWhileArriving(
			request,
			response,
			failure,
			isTooLarge || options.isStopping(),
		);
		return;
	}

	if (response.destroyed) {
		return;
	}

	const {metadata, route} = routed;
	const call = {
		...routed,
		method: request.method ?? 'GET',
		target: request.url ?? '/',
		headers: listHeaders(request),
		body: body.value,
		response,
		caller,
		arrivedAt,
		unreadMs: readAt - arrivedAt,
		deadlineAt:
			arrivedAt +
			Math.min(route.timeoutMs, metadata.deadlineMs ?? route.timeoutMs),
		version: configuration.version,
	};
	options.admission.add(call, options.readClock());
}

function resolveRoute(
	{headers, drawRandom}: CallerServerOptions,
	configuration: RoutingConfiguration,
	index: RouteIndex,
	request: IncomingMessage,
): RoutedRequest | Failure {
	const metadata = headers.readCallHeaders(listHeaders(request));
	if (!metadata) {
		return createFailure('badRequest', 'The request has no id.');
	}

	const route = findRoute(
		index,
		request.headers.host ?? '',
		request.url ?? '/',
	);
	if (!route) {
		return createFailure('unknownPath', 'No route matches host and path.');
	}

	const {keys} = configuration;
	const holder =
		metadata.key === undefined ? undefined : keys?.get(metadata.key);
	if (keys && !holder && !route.isPublic) {
		return createFailure('unauthorized', '');
	}

	const target = pickRouteTarget(route, drawRandom);
	const service =
		target === undefined ? undefined : configuration.services.get(target);
	return service
		? {route, service, holder, metadata}
		: createFailure('noBackend', 'The route has no service.', {
				retryAfterSeconds: 0.5,
			});
}

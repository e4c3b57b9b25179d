/**
 * The entry: takes callers' HTTP requests, finds the customer, and hands model
 * requests and service calls to their desks.
 */
import {randomInt, randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	Admission,
	createFailure,
	createRetryBudget,
	decideRetry,
	defaultHttpBounds,
	type EntrySettings,
	type Failure,
	LifeCycle,
	listenForOperators,
	listenHttp,
	type Logger,
	PlatformClient,
	protocolVersion,
	readBody,
	recordRequest,
	SessionPool,
	toIncarnation,
	toRequestId,
	waitFor,
	writeJson,
} from 'bramleystage';
import type {Observable} from 'rxjs';
import {writeFailure} from './answers.js';
import {Audit, EntryMetrics, type RequestRecord} from './audit.js';
import {findCustomer} from './authentication.js';
import {ModelDesk} from './model-desk.js';
import {
	type ModelRouteOptions,
	type RouteContext,
	runModelRoute,
} from './model-route.js';
import {Network} from './network.js';
import {createRouter, chooseModelStages} from './model-routing.js';
import {ServiceDesk} from './service-desk.js';
import {runServiceRoute} from './service-route.js';
import {startTable} from './entry-table.js';

export type RunningEntry = {
	/** Address of the callers' port. */
	readonly address: string;
	readonly operatorAddress: string;
	/** A record of each request as it ends. */
	readonly records: Observable<RequestRecord>;
	/** Takes no new request, lets those in flight end, then stops. */
	readonly drain: () => Promise<void>;
	/** Ends at once. */
	readonly stop: () => Promise<void>;
};

/** How long the ready check fails before new connections are refused. */
const leavingNoticeMs = 1000;
const timeoutHeader = 'x-request-timeout-ms';

const sweepIntervalMs = 10_000;

const readClock = () => performance.now();

/** Starts an entry; resolves when it listens. */
export async function startEntry(
	settings: EntrySettings,
	logger: Logger,
): Promise<RunningEntry> {
	const lifeCycle = new LifeCycle();
	const incarnation = toIncarnation(randomUUID());
	const {host, dataCentre, deployment} = settings;
	const identity = {host, role: 'entry', dataCentre, incarnation} as const;
	const platform = new PlatformClient(settings.platform);
	const metrics = new EntryMetrics();
	const audit = new Audit(logger, metrics);
	const bounds = {...defaultHttpBounds, maxBodyBytes: settings.maxBodyBytes};
	let leaving = false;
	let budget = createRetryBudget();

	const {follower, ...tableParts} = startTable({
		platform,
		settings,
		lifeCycle,
		logger,
		readClock,
	});
	const pool = new SessionPool({
		hello: {...identity, version: protocolVersion, deployment},
		timing: {
			heartbeatMs: settings.heartbeatMs,
			silenceMs: settings.silenceMs,
			handshakeMs: settings.silenceMs,
		},
		describeSelf: (peer) => ({leaving, table: follower.describe(peer)}),
	});
	lifeCycle.register(() => {
		pool.close();
	});
	const router = createRouter(randomInt);
	const admission = new Admission({
		firstTokenMs: settings.firstTokenTargetMs,
		gapMs: settings.tokenGapTargetMs,
	});
	lifeCycle.registerInterval(sweepIntervalMs, () => {
		admission.sweep(readClock());
	});
	const network = new Network({
		platform,
		pool,
		lifeCycle,
		readClock,
		onReport(reported) {
			router.recordReport(reported, readClock());
		},
	});
	pool.events.subscribe(tableParts.receive);

	const allowRetry = () => {
		const [next, isAllowed] = decideRetry(budget);
		budget = next;
		return isAllowed;
	};

	const send: Network['send'] = (to, message) => {
		network.send(to, message);
	};

	const models = new ModelDesk({
		choose: (request, excluding) =>
			chooseModelStages(
				router,
				{request, hosts: network.hosts, excluding},
				readClock(),
			),
		send,
		allowRetry,
		readClock,
	});
	const services = new ServiceDesk({
		choose: ({call}, excluding) =>
			router.chooseTarget(network.hosts, call.service, excluding, readClock()),
		send,
		allowRetry,
		readClock,
	});
	network.events.subscribe((event) => {
		models.receive(event);
		services.receive(event);
	});
	const isReady = () => !leaving && !follower.isStale;
	const modelRoute: ModelRouteOptions = {
		desk: models,
		admission,
		audit,
		metrics,
		readClock,
		readCreated: () => Math.floor(Date.now() / 1000),
	};

	const handle = async (message: IncomingMessage, response: ServerResponse) => {
		const url = message.url ?? '/';
		if (url === '/healthz' || url === '/readyz') {
			const isOk = url === '/healthz' || isReady();
			writeJson(response, isOk ? 200 : 503, {ok: isOk});
			return;
		}

		const request = toRequestId(randomUUID());
		response.setHeader('x-request-id', request);
		const {view} = follower.table.value;
		const customer = findCustomer(message.headers.authorization, view);
		if (customer.isErr()) {
			rejectMessage(message, response, customer.error);
			return;
		}

		if (leaving) {
			const failure = createFailure('stopping', 'The entry is stopping.', {
				retryAfterSeconds: 1,
			});
			rejectMessage(message, response, failure);
			return;
		}

		const stale = tableParts.findStaleness();
		if (stale) {
			rejectMessage(message, response, stale);
			return;
		}

		const body = await readBody(message, bounds);
		if (body.isErr()) {
			rejectMessage(message, response, body.error);
			return;
		}

		budget = recordRequest(budget);
		const context: RouteContext = {
			request,
			customer: customer.value,
			view,
			deadlineMs: parseTimeout(message, settings.requestTimeoutMs),
			response,
		};
		routeMessage(message, context, body.value);
	};

	const routeMessage = (
		message: IncomingMessage,
		context: RouteContext,
		body: Buffer,
	) => {
		const {response, view} = context;
		const [path = ''] = (message.url ?? '/').split('?');
		if (path.startsWith('/v1/services/')) {
			runServiceRoute(
				{desk: services, audit, readClock},
				context,
				message,
				body,
			);
			return;
		}

		const method = pathMethods.get(path);
		if (method === undefined) {
			writeFailure(response, createFailure('unknownPath', `No path ${path}.`));
		} else if (method !== message.method) {
			const failure = createFailure('methodNotAllowed', `Use ${method}.`);
			writeFailure(response, failure);
		} else if (path === '/v1/models') {
			const data = [...view.models.keys()].map((id) => ({
				id,
				object: 'model',
				created: 0,
				owned_by: deployment,
			}));
			writeJson(response, 200, {object: 'list', data});
		} else {
			const kind = path === '/v1/completions' ? 'completion' : 'chat';
			runModelRoute(modelRoute, context, kind, body.toString());
		}
	};

	await network.refresh();
	const listener = await listenHttp(settings.listen, handle, bounds);
	lifeCycle.register(async () => listener.close());
	tableParts.registerGauges(metrics);
	metrics.registerGauge(
		'connected_hosts',
		'Agents with a live session',
		() => network.hosts.connected.size,
	);
	metrics.registerGauge(
		'uncovered_layer_choices',
		'Choices of a pipeline that found layers that no live engine holds',
		() => router.uncovered,
	);
	metrics.registerGauge(
		'requests_in_flight',
		'Requests that have no whole answer yet',
		() => models.size + services.size,
	);
	const operators = await listenForOperators(settings.operatorListen, {
		registry: metrics.registry,
		isReady,
		dump: () => ({
			...identity,
			deployment,
			address: listener.address,
			leaving,
			...tableParts.describe(),
			hosts: [...network.hosts.connected.values()],
			requestsInFlight: models.size + services.size,
			retryBudget: budget,
			routing: router.describe(readClock()),
			admission: admission.describe(),
		}),
	});
	lifeCycle.register(async () => operators.close());
	logger.info('entry.started', {address: listener.address, incarnation});

	return {
		address: listener.address,
		operatorAddress: operators.address,
		records: audit.records.asObservable(),
		async drain() {
			leaving = true;
			logger.info('entry.leaving');
			await waitFor(leavingNoticeMs);
			await listener.drain();
			await lifeCycle.stop();
			logger.info('entry.stopped');
		},
		async stop() {
			await lifeCycle.stop();
		},
	};
}

const pathMethods = new Map([
	['/v1/models', 'GET'],
	['/v1/chat/completions', 'POST'],
	['/v1/completions', 'POST'],
]);

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

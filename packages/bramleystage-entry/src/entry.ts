/**
 * The entry: takes callers' HTTP requests, finds the customer, and hands model
 * requests and service calls to their desks.
 */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	createFailure,
	createRetryBudget,
	decideRetry,
	defaultHttpBounds,
	type EntrySettings,
	type Failure,
	type HostId,
	LifeCycle,
	listenForOperators,
	listenHttp,
	type Logger,
	PlatformClient,
	protocolVersion,
	readBody,
	recordRequest,
	type Recovery,
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
import {chooseStages, chooseTarget, replaceModelStage} from './routing.js';
import {ServiceDesk} from './service-desk.js';
import {runServiceRoute} from './service-route.js';
import {TableFollower} from './table-follower.js';

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
/** A host that does not answer a hello for this long cannot be reached. */
const handshakeMs = 800;
const timeoutHeader = 'x-request-timeout-ms';

const readClock = () => performance.now();

/** Starts an entry; resolves when it listens. */
export async function startEntry(
	settings: EntrySettings,
	logger: Logger,
	recovery: Recovery = 'replace',
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

	const pool = new SessionPool({
		hello: {...identity, version: protocolVersion, deployment},
		timing: {
			heartbeatMs: settings.heartbeatMs,
			silenceMs: settings.silenceMs,
			handshakeMs: Math.min(settings.silenceMs, handshakeMs),
		},
		describeSelf: () => ({leaving}),
	});
	lifeCycle.register(() => {
		pool.close();
	});
	const network = new Network({platform, pool, lifeCycle, readClock});
	const follower = new TableFollower(platform, lifeCycle, logger);
	const inFlight = new Map<HostId, number>();
	const countInFlight = (id: HostId) => inFlight.get(id) ?? 0;

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
			chooseStages(network.hosts, request, excluding, countInFlight),
		replace: (request, lost) =>
			replaceModelStage(network.hosts, request, lost, countInFlight),
		send,
		allowRetry,
		recovery,
		readClock,
	});
	const services = new ServiceDesk({
		choose: ({call}, excluding) =>
			chooseTarget(network.hosts, call.service, excluding, countInFlight),
		send,
		allowRetry,
		readClock,
	});
	network.events.subscribe((event) => {
		models.receive(event);
		services.receive(event);
	});
	const isReady = () => !leaving && follower.hasRead;
	const modelRoute: ModelRouteOptions = {
		desk: models,
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
	metrics.registerGauge('table_offset', 'Next offset of the table', () =>
		Number(follower.table.value.next),
	);
	metrics.registerGauge(
		'connected_hosts',
		'Agents with a live session',
		() => network.hosts.connected.size,
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
			tableOffset: follower.table.value.next,
			tableRows: Object.fromEntries(follower.table.value.rows),
			hosts: [...network.hosts.connected.values()],
			requestsInFlight: models.size + services.size,
			retryBudget: budget,
			modelRuns: models.describe(),
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

/**
 * The entry: takes callers' HTTP requests, finds the customer, and hands model
 * requests and service calls to their desks.
 */
import {randomInt, randomUUID} from 'node:crypto';
import {
	AdmissionController,
	computeBackoff,
	createRetryBudget,
	decideRetry,
	defaultHttpBounds,
	type EntrySettings,
	isClaimRequired,
	LifeCycle,
	listenForOperators,
	listenHttp,
	type Logger,
	PlatformClient,
	protocolVersion,
	recordRequest,
	registerTrafficCounters,
	type RecoveryMode,
	SessionPool,
	type TableSnapshot,
	toIncarnation,
	TrafficMeter,
	waitFor,
} from 'bramleystage';
import type {Observable} from 'rxjs';
import {Audit, EntryMetrics, type RequestRecord} from './audit.js';
import {createCallerHandler} from './caller-port.js';
import {EntryLimits} from './entry-limits.js';
import {EntryPeers} from './entry-peers.js';
import {ModelDesk} from './model-desk.js';
import {chooseHome} from './home-choice.js';
import type {ModelRouteOptions} from './model-route.js';
import {Network} from './network.js';
import {
	createRouter,
	chooseModelStages,
	replaceModelStage,
} from './model-routing.js';
import {ServiceDesk} from './service-desk.js';
import {startTable} from './entry-table.js';

export type RunningEntry = {
	/** Address of the callers' port. */
	readonly address: string;
	/** Address at which other entries open sessions. */
	readonly sessionAddress: string;
	readonly operatorAddress: string;
	/** A record of each request as it ends. */
	readonly records: Observable<RequestRecord>;
	/** The table as this entry has it. */
	readonly tables: Observable<TableSnapshot>;
	/** Takes no new request, lets those in flight end, then stops. */
	readonly drain: () => Promise<void>;
	/** Ends at once. */
	readonly stop: () => Promise<void>;
};

/** How long the ready check fails before new connections are refused. */
const leavingNoticeMs = 1000;
/** A host that does not answer a hello for this long cannot be reached. */
const handshakeMs = 800;

const sweepIntervalMs = 10_000;

const readClock = () => performance.now();

/** Starts an entry; resolves when it listens. */
export async function startEntry(
	settings: EntrySettings,
	logger: Logger,
	recovery: RecoveryMode = 'replace',
): Promise<RunningEntry> {
	const lifeCycle = new LifeCycle();
	const incarnation = toIncarnation(randomUUID());
	const {host, dataCentre, deployment} = settings;
	const identity = {host, role: 'entry', dataCentre, incarnation} as const;
	const platform = new PlatformClient(settings.platform);
	const metrics = new EntryMetrics();
	const audit = new Audit(logger, metrics);
	let leaving = false;
	let budget = createRetryBudget();
	const bounds = {
		...defaultHttpBounds,
		maxBodyBytes: settings.maxBodyBytes,
		bodyTimeoutMs: settings.bodyTimeoutMs,
	};

	const {follower, ...tableParts} = startTable({
		platform,
		settings,
		lifeCycle,
		logger,
		readClock,
	});
	const timing = {
		heartbeatMs: settings.heartbeatMs,
		idleHeartbeatMs: settings.idleHeartbeatMs,
		silenceMs: settings.silenceMs,
		handshakeMs: Math.min(settings.silenceMs, handshakeMs),
	};
	const meter = new TrafficMeter();
	registerTrafficCounters(metrics.registry, meter);
	const pool = new SessionPool({
		meter,
		hello: {...identity, version: protocolVersion, deployment},
		timing,
		describeSelf: (peer) => ({leaving, table: follower.describe(peer)}),
	});
	lifeCycle.register(() => {
		pool.close();
	});
	const router = createRouter(randomInt);
	const admission = new AdmissionController({
		firstTokenMs: settings.firstTokenTargetMs,
		tokenGapMs: settings.tokenGapTargetMs,
	});
	lifeCycle.registerInterval(sweepIntervalMs, () => {
		admission.removeIdle(readClock());
	});
	const network = new Network({
		platform,
		pool,
		lifeCycle,
		readClock,
		self: host,
		maxAgentSessions: settings.maxAgentSessions,
		onReport(reported) {
			router.recordReport(reported, readClock());
		},
	});
	pool.events.subscribe(tableParts.receive);
	const peers = new EntryPeers({
		meter,
		listen: settings.sessionListen,
		identity: {...identity, version: protocolVersion, deployment},
		timing,
		isLeaving: () => leaving,
		lifeCycle,
	});
	const limits = new EntryLimits({
		self: {host, incarnation},
		platform,
		peers,
		lifeCycle,
		logger,
		readView: () => follower.table.value.view,
		readListed: () => network.hosts.listed,
		readClock,
	});

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
		replace: (request, lost) =>
			replaceModelStage(
				router,
				{request, lost, hosts: network.hosts},
				readClock(),
			),
		send,
		allowRetry,
		recovery,
		readClock,
	});
	const services = new ServiceDesk({
		choose: ({call}, excluding) =>
			isClaimRequired(call)
				? chooseHome(network.hosts, call, excluding)
				: router.chooseTarget(
						network.hosts,
						call.service,
						excluding,
						readClock(),
					),
		send,
		policy: {
			allowRetry,
			computeBackoff: (attempts) => computeBackoff(attempts, Math.random),
		},
		readClock,
	});
	network.events.subscribe((event) => {
		router.receive(event);
		models.receive(event);
		services.receive(event);
	});
	const isReady = () => !leaving && !follower.isStale && limits.isSettled;
	const modelRoute: ModelRouteOptions = {
		desk: models,
		admission,
		audit,
		metrics,
		readClock,
		limits,
		readCreated: () => Math.floor(Date.now() / 1000),
	};

	const handle = createCallerHandler({
		settings,
		isReady,
		isLeaving: () => leaving,
		audit,
		logger,
		bounds,
		findStaleness: tableParts.findStaleness,
		readView: () => follower.table.value.view,
		recordRequest() {
			budget = recordRequest(budget);
		},
		models: modelRoute,
		services: {desk: services, audit, readClock, limits},
	});

	await peers.start();
	const updatingPeers = network.listed.subscribe((listed) => {
		peers.update(listed);
	});
	lifeCycle.register(() => {
		updatingPeers.unsubscribe();
	});
	await network.refresh();
	limits.start();
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
			modelRuns: models.describe(),
			routing: router.describe(readClock()),
			admission: admission.describe(),
			limits: limits.describe(),
		}),
	});
	lifeCycle.register(async () => operators.close());
	logger.info('entry.started', {address: listener.address, incarnation});

	return {
		address: listener.address,
		sessionAddress: peers.address,
		operatorAddress: operators.address,
		records: audit.records.asObservable(),
		tables: follower.table.asObservable(),
		async drain() {
			leaving = true;
			logger.info('entry.leaving');
			await waitFor(leavingNoticeMs);
			await listener.drain();
			limits.retire();
			await lifeCycle.stop();
			logger.info('entry.stopped');
		},
		async stop() {
			await lifeCycle.stop();
		},
	};
}

/**
 * The entry process: accepts callers' HTTP requests, authenticates the customer,
 * and runs model requests and service calls on the agents.
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
import {createRequestHandler} from './request-handler.js';
import {EntryLimits} from './entry-limits.js';
import {EntryPeers} from './entry-peers.js';
import {ModelRunManager} from './model-run-manager.js';
import {chooseAgentByKey} from './key-affinity.js';
import type {ModelRouteOptions} from './model-route.js';
import {AgentNetwork} from './agent-network.js';
import {
	chooseModelStages,
	createRouter,
	listRequestBlocks,
	replaceModelStage,
} from './model-routing.js';
import {SentPrompts} from './sent-prompts.js';
import {ServiceCallManager} from './service-call-manager.js';
import {startTable} from './entry-table.js';

export type RunningEntry = {
	/** Address at which callers send requests. */
	readonly address: string;
	/** Address at which other entries open sessions. */
	readonly sessionAddress: string;
	/** Address of the operators' HTTP interface. */
	readonly operatorAddress: string;
	/** Emits the record of each request when it ends. */
	readonly records: Observable<RequestRecord>;
	/** Emits this entry's current table and each later version of it. */
	readonly tables: Observable<TableSnapshot>;
	/** Refuses new requests, waits for those in flight, then stops. */
	readonly drain: () => Promise<void>;
	/** Stops without draining. */
	readonly stop: () => Promise<void>;
};

/** How long `/readyz` fails before new connections are refused, in milliseconds. */
const drainNoticeMs = 1000;
/**
 * A host that doesn't answer a hello within this time is treated as
 * unreachable.
 */
const handshakeTimeoutMs = 800;

const admissionCleanupIntervalMs = 10_000;

const readClock = () => performance.now();

/** Starts an entry; resolves once it listens on all its addresses. */
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
	let isDraining = false;
	let retryBudget = createRetryBudget();
	const httpBounds = {
		...defaultHttpBounds,
		maxBodyBytes: settings.maxBodyBytes,
		bodyTimeoutMs: settings.bodyTimeoutMs,
	};

	const {follower, ...entryTable} = startTable({
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
		handshakeMs: Math.min(settings.silenceMs, handshakeTimeoutMs),
	};
	const meter = new TrafficMeter();
	registerTrafficCounters(metrics.registry, meter);
	const pool = new SessionPool({
		meter,
		hello: {...identity, version: protocolVersion, deployment},
		timing,
		describeSelf: (peer) => ({
			leaving: isDraining,
			table: follower.createReport(peer),
		}),
	});
	lifeCycle.register(() => {
		pool.close();
	});
	const router = createRouter(randomInt);
	const admission = new AdmissionController({
		firstTokenMs: settings.firstTokenTargetMs,
		tokenGapMs: settings.tokenGapTargetMs,
	});
	lifeCycle.registerInterval(admissionCleanupIntervalMs, () => {
		admission.removeIdle(readClock());
	});
	const agentNetwork = new AgentNetwork({
		platform,
		pool,
		lifeCycle,
		readClock,
		self: host,
		maxAgentSessions: settings.maxAgentSessions,
		onLoadReport(reported) {
			router.recordReport(reported, readClock());
		},
	});
	pool.events.subscribe(entryTable.receive);
	const peers = new EntryPeers({
		meter,
		listen: settings.sessionListen,
		identity: {...identity, version: protocolVersion, deployment},
		timing,
		isDraining: () => isDraining,
		lifeCycle,
		logger,
	});
	const limits = new EntryLimits({
		self: {host, incarnation},
		platform,
		peers,
		lifeCycle,
		logger,
		readView: () => follower.table.value.view,
		readListedHosts: () => agentNetwork.hosts.listed,
		readClock,
	});

	const allowRetry = () => {
		const [next, isAllowed] = decideRetry(retryBudget);
		retryBudget = next;
		return isAllowed;
	};

	const send: AgentNetwork['send'] = (to, message) => {
		agentNetwork.send(to, message);
	};

	const modelRuns = new ModelRunManager({
		chooseStages: (request, excluding) =>
			chooseModelStages(
				router,
				{
					request,
					hosts: agentNetwork.hosts,
					excluding,
					prefix: listRequestBlocks(request),
				},
				readClock(),
			),
		replaceStage: (request, lost) =>
			replaceModelStage(
				router,
				{request, lost, hosts: agentNetwork.hosts},
				readClock(),
			),
		prompts: new SentPrompts(router.prefixes),
		send,
		allowRetry,
		recovery,
		readClock,
	});
	const serviceCalls = new ServiceCallManager({
		chooseTarget: ({call}, excluding) =>
			isClaimRequired(call)
				? chooseAgentByKey(agentNetwork.hosts, call, excluding)
				: router.chooseTarget(
						agentNetwork.hosts,
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
	agentNetwork.events.subscribe((event) => {
		router.receive(event);
		modelRuns.receive(event);
		serviceCalls.receive(event);
	});
	const isReady = () => !isDraining && !follower.isStale && limits.isSettled;
	const modelRoute: ModelRouteOptions = {
		runs: modelRuns,
		admission,
		audit,
		metrics,
		readClock,
		limits,
		readUnixSeconds: () => Math.floor(Date.now() / 1000),
	};

	const handleRequest = createRequestHandler({
		settings,
		isReady,
		isDraining: () => isDraining,
		audit,
		logger,
		bounds: httpBounds,
		findStaleTableFailure: entryTable.findStaleTableFailure,
		readView: () => follower.table.value.view,
		recordRequest() {
			retryBudget = recordRequest(retryBudget);
		},
		modelRoute,
		serviceRoute: {calls: serviceCalls, audit, logger, readClock, limits},
	});

	await peers.start();
	const hostListSubscription = agentNetwork.hostLists.subscribe((listed) => {
		peers.update(listed);
	});
	lifeCycle.register(() => {
		hostListSubscription.unsubscribe();
	});
	await agentNetwork.refreshHostList();
	limits.start();
	const listener = await listenHttp(
		settings.listen,
		handleRequest,
		httpBounds,
		{logger},
	);
	lifeCycle.register(async () => listener.close());
	entryTable.registerGauges(metrics);
	metrics.registerGauge(
		'connected_hosts',
		'Agents with a live session',
		() => agentNetwork.hosts.connected.size,
	);
	metrics.registerGauge(
		'uncovered_layer_choices',
		'Choices of a pipeline that found layers that no live engine holds',
		() => router.uncoveredChoices,
	);
	metrics.registerGauge(
		'requests_in_flight',
		'Requests that have no whole answer yet',
		() => modelRuns.size + serviceCalls.size,
	);
	const operatorOptions = {
		registry: metrics.registry,
		isReady,
		dump: () => ({
			...identity,
			deployment,
			address: listener.address,
			leaving: isDraining,
			...entryTable.describe(),
			hosts: [...agentNetwork.hosts.connected.values()],
			requestsInFlight: modelRuns.size + serviceCalls.size,
			retryBudget,
			modelRuns: modelRuns.describe(),
			routing: router.describe(readClock()),
			admission: admission.describe(),
			limits: limits.describe(),
		}),
	};
	const operatorListener = await listenForOperators(
		settings.operatorListen,
		operatorOptions,
		{logger},
	);
	lifeCycle.register(async () => operatorListener.close());
	logger.info('entry.started', {address: listener.address, incarnation});

	return {
		address: listener.address,
		sessionAddress: peers.address,
		operatorAddress: operatorListener.address,
		records: audit.records.asObservable(),
		tables: follower.table.asObservable(),
		async drain() {
			isDraining = true;
			logger.info('entry.leaving');
			await waitFor(drainNoticeMs);
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

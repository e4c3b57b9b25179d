/**
 * Starts a gateway. It accepts callers' requests and sends them directly to
 * engines and plain services, using the configuration and the list of backend
 * servers in the platform's store. No state of it lasts but what it saves there.
 */
import {LifeCycle, type Logger} from 'bramleystage';
import {createBodyBudget} from './body-budget.js';
import {createCallAdmission} from './call-handler.js';
import {listenForCallers} from './caller-server.js';
import {createCrashControl} from './crash-control.js';
import {registerDemandGauges} from './demand-gauges.js';
import {DemandWatch} from './demand-watch.js';
import {createEndCheck} from './end-check.js';
import {Fleet} from './fleet.js';
import {RetryBudget} from './retry-budget.js';
import {registerRetryGauges} from './retry-gauges.js';
import {InstanceWatch} from './instance-watch.js';
import {
	createLimitControl,
	createLimitedChoice,
	type LimitControl,
} from './limit-control.js';
import {LoopWatch} from './loop-watch.js';
import {RequestRecorder} from './request-recorder.js';
import {startPeerServer} from './peer-server.js';
import {startPlacement} from './placement-controller.js';
import type {GatewaySettings, PlatformPort} from './platform-port.js';
import {DrainControl} from './drain-control.js';
import {OwnLink} from './own-link.js';
import {registerPathMetrics} from './path-metrics.js';
import {listenForOperations} from './readiness-server.js';
import {followSharedState, type SharedState} from './shared-state.js';
import {openTimedAttempt} from './timed-attempt.js';
import {buildStreamHooks} from './stream-hooks.js';
import {StreamMonitor} from './stream-monitor.js';

export type RunningGateway = {
	/** Stops gracefully: leaves rotation, waits for requests in flight, and stops within the grace period. */
	readonly drain: () => Promise<void>;
	readonly stop: () => Promise<void>;
};

const readClock = () => performance.now();

/** Starts a gateway; resolves once it is listening. If it can't listen, nothing of it is left running. */
export async function startGateway(
	settings: GatewaySettings,
	platform: PlatformPort,
	logger: Logger,
): Promise<RunningGateway> {
	const lifeCycle = new LifeCycle();
	try {
		return await openGateway(settings, platform, logger, lifeCycle);
	} catch (error) {
		await lifeCycle.stop();
		throw error;
	}
}

async function openGateway(
	settings: GatewaySettings,
	platform: PlatformPort,
	logger: Logger,
	lifeCycle: LifeCycle,
): Promise<RunningGateway> {
	const {store, engines, headers} = platform;
	const isStopping = () => drain.isStopping;
	const readLinkDelayMs = () => ownLink.delayMs;
	const base = {lifeCycle, logger, readClock, readLinkDelayMs};
	const fleet: Fleet = new Fleet({
		dataCentre: settings.dataCentre,
		logger,
		readClock,
		countGateways: () => shared.group.size,
		readLinkDelayMs,
		limitedChoice: createLimitedChoice(() => limitControl),
		readFleetLoad: (service, now) => demand.readFleetLoad(service, now),
	});
	const recorder = new RequestRecorder(
		logger,
		readClock,
		() => readClock() - fleet.readAt,
	);
	const loopWatch = new LoopWatch({recorder, lifeCycle, readClock});
	const limitControl: LimitControl = createLimitControl({
		fleet,
		self: settings.peerListen,
		listPeers: () => shared.known.listPeers(),
		registry: recorder.registry,
		...base,
	});
	const {limits, permits} = limitControl;
	const instances = new InstanceWatch({
		fleet,
		readReport: engines.readReport,
		limits,
		permits,
		logger,
		readClock,
	});
	const ownLink = new OwnLink({recorder, lifeCycle, logger, readClock});
	const {ledger, crashGuard, memory} = createCrashControl({
		store,
		listMembers: () => shared.known.listPeers(),
		isGroupKnown: (now) => shared.group.share.describe(now).lack !== 'count',
		self: settings.peerListen,
		isWriter: () => shared.group.isLeader,
		recorder,
		fleet,
		instances,
		...base,
	});
	const demand: DemandWatch = new DemandWatch({
		countGateways: () => shared.group.size,
		listTotals: () => shared.peerLinks.listTotals(),
	});
	registerDemandGauges(recorder.registry, demand, readClock);
	const shared: SharedState = followSharedState({
		settings,
		store,
		fleet,
		registry: recorder.registry,
		crashes: ledger,
		limits,
		demand,
		findBackAt: () => (drain.isStopping ? drain.backAt : undefined),
		recordLinkEvent(event) {
			ownLink.record(event);
		},
		...base,
	});
	const {peerLinks, group, peerSync, configurations, readState} = shared;
	const publisher = await startPeerServer({
		address: settings.peerListen,
		readState,
		onPing: shared.recordPing,
		onMemberCount(told) {
			group.share.recordMemberCount(told, readClock());
		},
		onGroupFence(fence) {
			group.recordPeerFence(fence);
		},
		peerLinks,
		peerSync,
		fleet,
		crashes: ledger,
		limits,
		permits,
		demand,
		...base,
	});
	startPlacement({
		fleet,
		group,
		engines,
		instances,
		limits,
		permits,
		listServices: () => [...(configurations.value?.services.values() ?? [])],
		readDemand({name}, now) {
			const {running, tokens} = demand.readFleetLoad(name, now).fleet;
			return {running, tokens, reserve: settings.toleratedLosses};
		},
		...base,
	});
	const monitor = new StreamMonitor({
		fleet,
		instances,
		...base,
	});
	registerPathMetrics(recorder.registry, fleet.paths, monitor);
	const drain = new DrainControl({
		graceMs: settings.graceMs,
		computeStreamMs: (call) => monitor.computeDurationMs(call),
		findServingAt: () => peerLinks.findServingAt(),
		...base,
	});
	const retryBudget = new RetryBudget(
		settings,
		(now) => group.share.describe(now).share,
		readClock,
	);
	registerRetryGauges({
		registry: recorder.registry,
		describeShare: (now) => group.share.describe(now),
		describeRepeats: (now) => retryBudget.describe(now),
		readClock,
	});
	const context = {
		fleet,
		instances,
		limits,
		permits,
		demand,
		crashGuard,
		openAttempt: openTimedAttempt,
		checkEnd: createEndCheck({instances, ...base}),
		headers,
		recorder,
		readClock,
		readLinkDelayMs,
		isStopping,
		holdsStreams: () => drain.holdsStreams,
		drawRandom: Math.random,
		replacePath: engines.replacePath,
		...buildStreamHooks(monitor),
	};
	// Serves no request before it is known which ones end servers, if the store tells.
	const readConfiguration = () =>
		memory.isRead() ? configurations.value : undefined;
	let isListening = false;
	const isReady = () =>
		isListening &&
		!isStopping() &&
		readConfiguration() !== undefined &&
		fleet.hasBackends;
	const admission = createCallAdmission({
		context,
		demand,
		retryBudget,
		openCalls: drain.openCalls,
		findDrainRefusal: (call) => drain.findRefusal(call),
		readFleetLoad: (service, now) => demand.readFleetLoad(service, now),
		logger,
		measureUnreadMs: (now) => loopWatch.measureUnreadMs(now),
		waitForTurn: setImmediate,
		waitForTime: setTimeout,
	});
	// Callers connect last, so that a process that ends before has accepted nothing.
	await listenForOperations(settings, {
		registry: recorder.registry,
		isReady,
		dump: () => ({backends: [...fleet.snapshots.value.backends.values()]}),
		lifeCycle,
		logger,
	});
	const callers = await listenForCallers({
		address: settings.listen,
		headers,
		lifeCycle,
		logger,
		readConfiguration,
		admission,
		bodyBudget: createBodyBudget(recorder),
		recorder,
		isStopping,
		drawRandom: Math.random,
		readClock,
	});
	isListening = true;
	configurations.subscribe((configuration) => {
		if (configuration) {
			callers.update(configuration);
			publisher.publish();
		}
	});
	logger.info('gateway.started', {listen: settings.listen});
	return {
		async drain() {
			drain.start();
			logger.info('gateway.stopping', {
				in_flight: callers.countOpenRequests(),
			});
			publisher.publish();
			void group.leave();
			await drain.waitForCallers(callers);
			await lifeCycle.stop();
		},
		async stop() {
			await lifeCycle.stop();
		},
	};
}

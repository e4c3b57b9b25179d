/**
 * Starts a gateway. It accepts callers' requests and sends them directly to
 * engines and plain services, using the configuration and the list of backend
 * servers in the platform's store. No state of it lasts but what it saves there.
 */
import {LifeCycle, type Logger, type ServiceName} from 'bramleystage';
import {followBackends} from './backend-follower.js';
import {createBodyBudget} from './body-budget.js';
import {createCallAdmission} from './call-handler.js';
import {listenForCallers} from './caller-server.js';
import {createCrashControl} from './crash-control.js';
import {followConfiguration} from './configuration-follower.js';
import {createEndCheck} from './end-check.js';
import {Fleet} from './fleet.js';
import {RetryBudget} from './retry-budget.js';
import {InstanceWatch} from './instance-watch.js';
import {
	createLimitControl,
	createLimitedChoice,
	type LimitControl,
} from './limit-control.js';
import {GatewayGroup} from './gateway-group.js';
import {LoopWatch} from './loop-watch.js';
import {RequestRecorder} from './request-recorder.js';
import {PeerSync} from './peer-sync.js';
import {startPeerServer} from './peer-server.js';
import {PeerLinks} from './peer-links.js';
import {computeOwnReadAgeMs} from './peer-selection.js';
import type {GatewayState} from './peer-update.js';
import {startPlacement} from './placement-controller.js';
import type {GatewaySettings, PlatformPort} from './platform-port.js';
import {DrainControl} from './drain-control.js';
import {OwnLink} from './own-link.js';
import {listenForOperations} from './readiness-server.js';
import {StoreContact} from './store-contact.js';
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
		countGateways: () => group.size,
		readLinkDelayMs,
		limitedChoice: createLimitedChoice(() => limitControl),
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
		listPeers: () => group.listPeers(),
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
		listMembers: () => group.listPeers(),
		self: settings.peerListen,
		isWriter: () => group.isLeader,
		recorder,
		fleet,
		instances,
		...base,
	});
	const peerLinks: PeerLinks = new PeerLinks({
		listPeers: () => group.listPeers(),
		onUpdate(state) {
			peerSync.acceptUpdate(state);
			group.applyPeerGroup();
		},
		crashes: ledger,
		limits,
		readGroupFence: () => group.state?.fence,
		recordLinkEvent(event) {
			ownLink.record(event);
		},
		...base,
	});
	const group: GatewayGroup = new GatewayGroup({
		store,
		self: settings.peerListen,
		seeds: settings.seeds,
		memberMs: settings.memberMs,
		windowMs: settings.retryWindowMs,
		isStoreUnreachable: () => peerLinks.isStoreUnreachable,
		readListReadAt: () => fleet.readAt,
		findPeerState: (address) => peerLinks.findPeerState(address),
		findPeerGroup: () => peerLinks.findGroup(),
		isInformedByPeer: () => isInformedByPeer(),
		...base,
	});
	const contact = new StoreContact();
	const isInformedByPeer = () =>
		peerLinks.hasPublisher(settings.peerListen, contact.isLost(readClock()));
	const readMaxAgeMs = () =>
		computeOwnReadAgeMs(isInformedByPeer(), group.rank);
	const follower = followConfiguration({
		store,
		readMaxAgeMs,
		recordStoreEra(era) {
			fleet.recordStoreEra(era);
		},
		contact,
		...base,
	});
	const {configurations} = follower;
	followBackends({
		store,
		fleet,
		readMaxAgeMs,
		contact,
		...base,
	});
	const peerSync = new PeerSync({
		follower,
		fleet,
		listPeers: () => group.listPeers(),
		isStopping,
		...base,
	});
	const readState = (): GatewayState => ({
		...(drain.isStopping && {backAt: drain.backAt}),
		storeEra: fleet.storeEra,
		...(fleet.hasBackends && {reader: fleet.reader ?? settings.peerListen}),
		group: group.state,
		version: configurations.value?.version ?? -1,
		configurationReadAt: follower.readAt(),
		listReadAt: fleet.readAt,
		backends: fleet.snapshots.value.backends,
	});
	const publisher = await startPeerServer({
		address: settings.peerListen,
		readState,
		onGroupFence(fence) {
			group.recordPeerFence(fence);
		},
		peerLinks,
		peerSync,
		fleet,
		crashes: ledger,
		limits,
		permits,
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
		...base,
	});
	const monitor = new StreamMonitor({
		fleet,
		instances,
		...base,
	});
	const drain = new DrainControl({
		graceMs: settings.graceMs,
		computeStreamMs: (call) => monitor.computeDurationMs(call),
		findServingAt: () => peerLinks.findServingAt(),
		...base,
	});
	const retryBudget = new RetryBudget(
		settings,
		(now) => group.computeBudgetShare(now),
		readClock,
	);
	const context = {
		fleet,
		instances,
		limits,
		permits,
		crashGuard,
		openAttempt: openTimedAttempt,
		checkEnd: createEndCheck({instances, ...base}),
		headers,
		recorder,
		trySpendRetry: (service: ServiceName) => retryBudget.trySpendRetry(service),
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
		retryBudget,
		openCalls: drain.openCalls,
		findDrainRefusal: (call) => drain.findRefusal(call),
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

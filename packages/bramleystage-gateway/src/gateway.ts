/**
 * The gateway: takes callers' requests and calls engines and plain services
 * directly, by a configuration and a list of backend servers that the platform
 * keeps. It holds nothing that must last.
 */
import http from 'node:http';
import {
	createFailure,
	createRetryWindow,
	decideRepeat,
	type Failure,
	LifeCycle,
	listenForOperators,
	type Logger,
	parseAddress,
	type PathStage,
	recordWindowRequest,
	type ServiceName,
	waitFor,
} from 'bramleystage';
import {writeFinalFailure} from './answers.js';
import {followBackends} from './backend-follower.js';
import type {Call} from './call.js';
import {listenForCallers} from './caller-port.js';
import {followConfiguration} from './configuration-follower.js';
import {Fleet} from './fleet.js';
import {Group} from './group.js';
import {Journal} from './journal.js';
import {PeerDesk} from './peer-desk.js';
import {listenForPeers} from './peer-exchange.js';
import {startPlacement} from './placement-desk.js';
import type {GatewaySettings, PlatformPort} from './platform-port.js';
import {PlainRun} from './plain-run.js';
import {StreamRun} from './stream-run.js';
import {StreamWatch} from './stream-watch.js';

export type RunningGateway = {
	/** Takes itself out of rotation, lets requests end, and stops within the grace time. */
	readonly drain: () => Promise<void>;
	readonly stop: () => Promise<void>;
};

/** Time after a stop signal in which new requests are still taken: two missed ready checks and the way there. */
const takeWhileStoppingMs = 3000;
/** Part of the grace time that is kept for the end itself, in milliseconds. */
const endReserveMs = 700;
/** How often a stopping gateway looks whether all requests have ended, in milliseconds. */
const drainCheckMs = 100;
/** Share of the fleet's slack that is left unused for gateways that are not known yet. */
const slackShare = 0.75;
/** Share of its slack that a restarted gateway uses until a window has passed; its earlier life used some. */
const freshShare = 0.25;

const readClock = () => performance.now();

/** Starts a gateway; resolves when it listens. */
export async function startGateway(
	settings: GatewaySettings,
	platform: PlatformPort,
	logger: Logger,
): Promise<RunningGateway> {
	const lifeCycle = new LifeCycle();
	const {store, engines, headers} = platform;
	let stoppingAt: number | undefined;
	const follower = followConfiguration({store, lifeCycle, logger, readClock});
	const {configurations} = follower;
	const fleet: Fleet = new Fleet({
		dataCentre: settings.dataCentre,
		logger,
		readClock,
		countGateways: () => group.size,
	});
	const journal = new Journal(
		logger,
		readClock,
		() => readClock() - fleet.readAt,
	);
	const group: Group = new Group({
		store,
		self: settings.peerListen,
		seeds: settings.seeds,
		memberMs: settings.memberMs,
		readListedAt: () => fleet.readAt,
		lifeCycle,
		logger,
		readClock,
	});
	followBackends({store, fleet, lifeCycle, logger, readClock});
	const peers = new PeerDesk({
		follower,
		fleet,
		listPeers: () => group.listPeers(),
		isStopping: () => stoppingAt !== undefined,
		lifeCycle,
		logger,
		readClock,
	});
	await listenForPeers(
		settings.peerListen,
		(question) => peers.answer(question),
		lifeCycle,
		logger,
	);
	startPlacement({
		fleet,
		group,
		engines,
		listServices: () => [...(configurations.value?.services.values() ?? [])],
		lifeCycle,
		logger,
		readClock,
	});
	const watch = new StreamWatch({fleet, engines, logger, lifeCycle, readClock});
	const budget = createFleetBudget(settings, () => group.size);
	let inFlight = 0;
	const context = {
		fleet,
		headers,
		journal,
		tryRepeat: budget.tryRepeat,
		readClock,
		isStopping: () => stoppingAt !== undefined,
		registerStream: (stream: StreamRun) => watch.register(stream),
		isUnreachable: ({id}: PathStage) => fleet.isUnreachable(id),
		replacePath: engines.replacePath,
		readReport: engines.readReport,
		checkNamed(stage: PathStage) {
			void watch.checkNamed(stage);
		},
		recordPause(path: readonly PathStage[], pauseMs: number) {
			watch.recordPause(path, pauseMs);
		},
	};
	const isReady = () =>
		stoppingAt === undefined &&
		configurations.value !== undefined &&
		fleet.isListed;
	/** Refuses what would not end before the process does. */
	const findObstacle = (call: Call): Failure | undefined => {
		if (
			stoppingAt === undefined ||
			readClock() - stoppingAt < takeWhileStoppingMs
		) {
			return undefined;
		}

		const endAt = stoppingAt + settings.graceMs - endReserveMs;
		return readClock() + watch.estimateMs(call) > endAt
			? createFailure('stopping', 'The gateway is stopping.', {
					retryAfterSeconds: 0.05,
				})
			: undefined;
	};

	const handleCall = (call: Call) => {
		const obstacle = findObstacle(call);
		if (obstacle) {
			writeFinalFailure(call.response, obstacle, true);
			journal.recordEnd(call, {failure: obstacle, attempts: 0, where: ''});
			return;
		}

		inFlight++;
		call.response.once('close', () => {
			inFlight--;
		});
		budget.recordRequest(call.service.name);
		const run = call.service.pipeline
			? new StreamRun(call, context)
			: new PlainRun(call, context);
		run.start();
	};

	const callers = await listenForCallers({
		address: settings.listen,
		headers,
		lifeCycle,
		readConfiguration: () => configurations.value,
		handleCall,
		isStopping: () => stoppingAt !== undefined,
		drawRandom: Math.random,
		readClock,
	});
	configurations.subscribe((configuration) => {
		if (configuration) {
			callers.update(configuration);
		}
	});
	await listenForReadyChecks(settings.readyListen, isReady, lifeCycle);
	if (settings.operatorListen) {
		const listener = await listenForOperators(settings.operatorListen, {
			registry: journal.registry,
			isReady,
			dump: () => ({backends: [...fleet.snapshots.value.backends.values()]}),
		});
		lifeCycle.register(async () => listener.close());
	}

	logger.info('gateway.started', {listen: settings.listen});
	return {
		async drain() {
			stoppingAt = readClock();
			logger.info('gateway.stopping', {in_flight: inFlight});
			void group.leave();
			const endAt = stoppingAt + settings.graceMs - endReserveMs;
			const leaveAt = stoppingAt + takeWhileStoppingMs;
			const isBusy = () => inFlight > 0 || readClock() < leaveAt;
			while (isBusy() && readClock() < endAt) {
				// Looks again until all requests have ended.
				// eslint-disable-next-line no-await-in-loop
				await waitFor(drainCheckMs);
			}

			logger.info('gateway.stopped', {in_flight: inFlight});
			await lifeCycle.stop();
		},
		async stop() {
			await lifeCycle.stop();
		},
	};
}

/** Repeats of each service, within this gateway's part of the fleet's budget. */
function createFleetBudget(
	settings: GatewaySettings,
	countGateways: () => number,
) {
	const windows = new Map<ServiceName, ReturnType<typeof createRetryWindow>>();
	const startedAt = readClock();
	const readBounds = () => {
		// What an earlier life of this process has spent still counts for a window.
		const isFresh =
			!settings.isFirstStart &&
			readClock() - startedAt < settings.retryWindowMs;
		const share = isFresh ? slackShare * freshShare : slackShare;
		return {
			ratio: settings.retryRatio,
			slack: (settings.retrySlack * share) / countGateways(),
			windowMs: settings.retryWindowMs,
		};
	};

	const readWindow = (service: ServiceName) =>
		windows.get(service) ?? createRetryWindow();
	return {
		recordRequest(service: ServiceName) {
			windows.set(
				service,
				recordWindowRequest(readWindow(service), readBounds(), readClock()),
			);
		},
		tryRepeat(service: ServiceName) {
			const [next, isAllowed] = decideRepeat(
				readWindow(service),
				readBounds(),
				readClock(),
			);
			windows.set(service, next);
			return isAllowed;
		},
	};
}

async function listenForReadyChecks(
	address: string,
	isReady: () => boolean,
	lifeCycle: LifeCycle,
): Promise<void> {
	const server = http.createServer((_request, response) => {
		response.writeHead(isReady() ? 200 : 503, {'content-length': 0});
		response.end();
	});
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	lifeCycle.register(() => {
		server.close();
		server.closeAllConnections();
	});
}

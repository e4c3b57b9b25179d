/**
 * The gateway: takes callers' requests and calls engines and plain services
 * directly, by a configuration and a list of backend servers that the platform
 * keeps. It holds nothing that must last.
 */
import http from 'node:http';
import {
	LifeCycle,
	listenForOperators,
	type Logger,
	parseAddress,
	type PathStage,
	type ServiceName,
	waitFor,
} from 'bramleystage';
import {writeFinalFailure} from './answers.js';
import {followBackends} from './backend-follower.js';
import type {Call} from './call.js';
import {listenForCallers} from './caller-port.js';
import {followConfiguration} from './configuration-follower.js';
import {Fleet} from './fleet.js';
import {FleetBudget} from './fleet-budget.js';
import {Group} from './group.js';
import {Journal} from './journal.js';
import {PeerDesk} from './peer-desk.js';
import {listenForPeers} from './peer-exchange.js';
import {PeerLinks} from './peer-links.js';
import type {Knowledge} from './peer-news.js';
import {PeerTeller} from './peer-teller.js';
import {startPlacement} from './placement-desk.js';
import type {GatewaySettings, PlatformPort} from './platform-port.js';
import {PlainRun} from './plain-run.js';
import {
	computeBackAt,
	computeEndAt,
	computeTakeUntil,
	decideStopRefusal,
	type StopTimes,
} from './stop-gate.js';
import {StreamRun} from './stream-run.js';
import {StreamWatch} from './stream-watch.js';

export type RunningGateway = {
	/** Takes itself out of rotation, lets requests end, and stops within the grace time. */
	readonly drain: () => Promise<void>;
	readonly stop: () => Promise<void>;
};

/** How often a stopping gateway looks whether all requests have ended, in milliseconds. */
const drainCheckMs = 100;
const readClock = () => performance.now();

/** Starts a gateway; resolves when it listens. */
export async function startGateway(
	settings: GatewaySettings,
	platform: PlatformPort,
	logger: Logger,
): Promise<RunningGateway> {
	const lifeCycle = new LifeCycle();
	const {store, engines, headers} = platform;
	let stop: StopTimes | undefined;
	const isStopping = () => stop !== undefined;
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
	const links: PeerLinks = new PeerLinks({
		listPeers: () => group.listPeers(),
		onNews(known) {
			peers.acceptNews(known);
		},
		lifeCycle,
		logger,
		readClock,
	});
	const group: Group = new Group({
		store,
		self: settings.peerListen,
		seeds: settings.seeds,
		memberMs: settings.memberMs,
		windowMs: settings.retryWindowMs,
		isStoreAway: () => links.isStoreAway,
		readListedAt: () => fleet.readAt,
		findKnowledge: (address) => links.findKnowledge(address),
		lifeCycle,
		logger,
		readClock,
	});
	const isTold = () => links.hasTellerBefore(settings.peerListen);
	const follower = followConfiguration({
		store,
		isTold,
		lifeCycle,
		logger,
		readClock,
	});
	const {configurations} = follower;
	followBackends({store, fleet, isTold, lifeCycle, logger, readClock});
	const peers = new PeerDesk({
		follower,
		fleet,
		listPeers: () => group.listPeers(),
		isStopping,
		lifeCycle,
		logger,
		readClock,
	});
	const describeKnowledge = (): Knowledge => ({
		...(stop && {backAt: computeBackAt(stop)}),
		version: configurations.value?.version ?? -1,
		configurationReadAt: follower.readAt(),
		listReadAt: fleet.readAt,
		backends: fleet.snapshots.value.backends,
	});
	const teller = new PeerTeller({describe: describeKnowledge, readClock});
	await listenForPeers(
		settings.peerListen,
		{
			answer: (question) => peers.answer(question),
			acceptBeat(socket, beat) {
				teller.acceptBeat(socket, beat);
			},
		},
		lifeCycle,
		logger,
	);
	fleet.snapshots.subscribe(() => {
		teller.publish();
	});
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
	const budget = new FleetBudget(
		settings,
		(now) => group.computeBudgetShare(now),
		readClock,
	);
	let inFlight = 0;
	const context = {
		fleet,
		headers,
		journal,
		tryRepeat: (service: ServiceName) => budget.tryRepeat(service),
		readClock,
		isStopping,
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
		!isStopping() && configurations.value !== undefined && fleet.isListed;
	/** Refuses what might not end before the process does. */
	const findObstacle = (call: Call) =>
		stop &&
		decideStopRefusal(
			stop,
			{
				estimateMs: watch.estimateMs(call),
				servingAt: links.findServingAt(),
			},
			readClock(),
		);

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
		isStopping,
		drawRandom: Math.random,
		readClock,
	});
	configurations.subscribe((configuration) => {
		if (configuration) {
			callers.update(configuration);
			teller.publish();
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
			stop = {stoppingAt: readClock(), graceMs: settings.graceMs};
			logger.info('gateway.stopping', {in_flight: inFlight});
			teller.publish();
			void group.leave();
			const endAt = computeEndAt(stop);
			const leaveAt = computeTakeUntil(stop);
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

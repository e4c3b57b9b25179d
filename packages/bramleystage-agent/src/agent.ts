/**
 * Agent process. All requests to its backend server pass through it. It
 * connects sessions of entries and of other agents to the call manager and the
 * stage manager, and reports its load and offers in heartbeats.
 */
import {randomUUID} from 'node:crypto';
import {
	type AgentSettings,
	checkHello,
	type Hello,
	LifeCycle,
	listenForOperators,
	listenForSessions,
	type LoadReport,
	type Logger,
	type Message,
	type Offer,
	PlatformClient,
	protocolVersion,
	registerTrafficCounters,
	type Session,
	SessionPool,
	type SessionPeer,
	type SessionTiming,
	type Stage,
	TableFollower,
	type TableSnapshot,
	toIncarnation,
	toServiceName,
	TrafficMeter,
	waitFor,
} from 'bramleystage';
import type {Observable} from 'rxjs';
import {createMetrics} from './agent-metrics.js';
import {createCacheFollower} from './cache-follower.js';
import {CallManager} from './call-manager.js';
import {ClaimManager} from './claim-manager.js';
import {EngineClient} from './engine-client.js';
import {type EntryKey, EntrySessions} from './entry-sessions.js';
import {findMismatch} from './layer-match.js';
import {createSchedulers} from './schedulers.js';
import {ServiceClient} from './service-client.js';
import {StageManager} from './stage-manager.js';

export type RunningAgent = {
	/** Address that accepts sessions. */
	readonly address: string;
	readonly operatorAddress: string;
	/** This agent's current version of the table. */
	readonly tables: Observable<TableSnapshot>;
	/** Refuses new work, waits until running work has ended, then stops. */
	readonly drain: () => Promise<void>;
	/** Stops immediately. */
	readonly stop: () => Promise<void>;
};

const offerRefreshIntervalMs = 1000;
/**
 * Maximum wait for the response to a hello, in milliseconds. A host that exceeds
 * it is considered unreachable.
 */
const maxHandshakeMs = 800;
const sweepIntervalMs = 10_000;
const drainPollIntervalMs = 50;
/** Minimum time for which heartbeats announce that the agent is draining, in milliseconds. */
const minDrainNoticeMs = 1000;
/** How long an entry may have no session before its stages are cancelled, in milliseconds. */
const entryReconnectGraceMs = 5000;

const readClock = () => performance.now();

/** Starts an agent; resolves when it accepts sessions. */
export async function startAgent(
	settings: AgentSettings,
	logger: Logger,
): Promise<RunningAgent> {
	const lifeCycle = new LifeCycle();
	const incarnation = toIncarnation(randomUUID());
	const timing: SessionTiming = {
		heartbeatMs: settings.heartbeatMs,
		idleHeartbeatMs: settings.idleHeartbeatMs,
		silenceMs: settings.silenceMs,
		handshakeMs: Math.min(settings.silenceMs, maxHandshakeMs),
	};
	const entries = new EntrySessions();
	const {host, dataCentre, deployment} = settings;
	let isDraining = false;
	let offers: Offer[] = [];

	const schedulers = createSchedulers(settings, () => offers);
	const describeLoad = (): LoadReport =>
		(settings.engine ? schedulers.steps : schedulers.calls).describeLoad(
			readClock(),
		);
	const describeSelf = (peer: SessionPeer) => ({
		leaving: isDraining,
		offers,
		load: describeLoad(),
		table: follower.createReport(peer),
		prefixes: cache?.createReport(schedulers.steps.room),
	});
	const follower = new TableFollower({
		dataCentre,
		lifeCycle,
		logger,
		readClock,
	});
	const identity = {host, role: 'agent', dataCentre, incarnation} as const;
	const trafficMeter = new TrafficMeter();
	const pool = new SessionPool({
		meter: trafficMeter,
		hello: {...identity, version: protocolVersion, deployment},
		timing,
		describeSelf: () => ({leaving: isDraining}),
	});
	lifeCycle.register(() => {
		pool.close();
	});

	const sendToStage = (stage: Stage, message: Message) => {
		// If there is no session, the stage resends its last output when one opens.
		pool.open(stage.address);
		pool.findSession(stage.address)?.send(message);
	};

	pool.events.subscribe((event) => {
		if (event.type === 'opened') {
			stages?.updatePeer('peerReconnected', event.address);
		} else if (event.type === 'refused') {
			stages?.updatePeer('peerLost', event.address);
		}
	});

	const engine = settings.engine
		? new EngineClient(settings.engine)
		: undefined;
	const service = settings.service
		? new ServiceClient(settings.service)
		: undefined;
	lifeCycle.register(() => {
		engine?.close();
		service?.close();
	});
	const cache = settings.engine
		? createCacheFollower(settings.engine, lifeCycle)
		: undefined;
	const stages = engine
		? new StageManager({
				client: engine,
				scheduler: schedulers.steps,
				describeContext: () => ({
					leaving: isDraining,
					findMismatch: (open) =>
						schedulers.steps.isFull
							? 'The queue is full.'
							: findMismatch(offers, open),
				}),
				sendToEntry(entry, message) {
					entries.send(entry, message);
				},
				sendToStage,
				onStepFailed() {
					void refreshOffers();
				},
				promptCache: {
					estimateTokens: ({prefix}) =>
						cache?.estimateTokens(prefix ?? []) ?? 0,
					recordRun({prefix}) {
						cache?.recordRun(prefix ?? [], readClock());
					},
				},
				readClock,
			})
		: undefined;
	const calls = service
		? new CallManager({
				client: service,
				claims: new ClaimManager({
					platform: new PlatformClient(settings.platform),
					lifeCycle,
					self: {host, incarnation},
					handle(request, event) {
						calls?.handle(request, event);
					},
					readClock,
				}),
				scheduler: schedulers.calls,
				describeContext: () => ({incarnation, leaving: isDraining}),
				send(entry, message) {
					entries.send(entry, message);
				},
				readClock,
			})
		: undefined;

	const refreshOffers = async () => {
		if (settings.serviceName) {
			offers = [
				{kind: 'service', service: toServiceName(settings.serviceName)},
			];
		} else {
			const offer = await engine?.readOffer();
			offers = offer ? [offer] : [];
		}
	};

	const receive = (message: Message, entry: EntryKey | undefined) => {
		if ('request' in message) {
			calls?.receive(message, entry);
		}

		stages?.receive(message, entry);
		if (message.type === 'stageOpen') {
			for (const stage of message.stages) {
				if (stage.host !== host) {
					pool.openNow(stage.address);
				}
			}
		}
	};

	const handleSession = (session: Session, hello: Hello) => {
		const entry =
			hello.role === 'entry' ? entries.register(session, hello) : undefined;
		session.messages.subscribe((message) => {
			follower.receive(hello, message, (answer) => {
				session.send(answer);
			});
			if (!entry || entries.isNewest(entry, session)) {
				receive(message, entry);
			}
		});
		logger.debug('session.opened', {peer: hello.host, role: hello.role});
		void removeSessionWhenClosed(session, entry);
		if (entry) {
			stages?.resendTo(entry);
		}
	};

	const removeSessionWhenClosed = async (
		session: Session,
		entry: EntryKey | undefined,
	) => {
		const reason = await session.closed;
		logger.debug('session.closed', {
			peer: session.peer.host,
			reason: reason.detail,
		});
		if (entry && entries.remove(entry, session)) {
			lifeCycle.registerTimeout(entryReconnectGraceMs, () => {
				if (!entries.has(entry)) {
					stages?.cancelStagesOf(entry);
				}
			});
		}
	};

	await Promise.all([refreshOffers(), cache?.refresh()]);
	lifeCycle.registerInterval(offerRefreshIntervalMs, () => {
		void refreshOffers();
		void cache?.refresh();
	});
	lifeCycle.registerInterval(sweepIntervalMs, () => {
		calls?.sweep(readClock());
		stages?.sweep(readClock());
	});
	const listener = await listenForSessions({
		meter: trafficMeter,
		address: settings.listen,
		logger,
		welcome: {type: 'welcome', ...identity},
		timing,
		describeSelf,
		check: (hello) => checkHello(hello, deployment),
		onSession: handleSession,
	});
	lifeCycle.register(async () => listener.close());
	const registry = createMetrics(
		describeLoad,
		() => entries.size,
		() => follower.table.value.next,
	);
	registerTrafficCounters(registry, trafficMeter);
	const operatorOptions = {
		registry,
		isReady: () => !isDraining && offers.length > 0,
		dump: () => ({
			...identity,
			deployment,
			address: listener.address,
			leaving: isDraining,
			offers,
			load: describeLoad(),
			...follower.summary,
			entrySessions: entries.size,
			openStages: stages?.openCount ?? 0,
			stages: stages?.describeOpenStages() ?? [],
			stageRecords: stages?.recordCount ?? 0,
			callRecords: calls?.recordCount ?? 0,
		}),
	};
	const operators = await listenForOperators(
		settings.operatorListen,
		operatorOptions,
		{logger},
	);
	lifeCycle.register(async () => operators.close());
	logger.info('agent.started', {address: listener.address, incarnation});

	const isIdle = () =>
		(stages?.openCount ?? 0) + (calls?.queued ?? 0) + (calls?.running ?? 0) ===
		0;
	return {
		address: listener.address,
		operatorAddress: operators.address,
		tables: follower.table.asObservable(),
		async drain() {
			isDraining = true;
			logger.info('agent.leaving');
			await waitFor(minDrainNoticeMs);
			while (!isIdle()) {
				// eslint-disable-next-line no-await-in-loop -- polls until the running work has ended
				await waitFor(drainPollIntervalMs);
			}

			await lifeCycle.stop();
			logger.info('agent.stopped');
		},
		async stop() {
			await lifeCycle.stop();
		},
	};
}

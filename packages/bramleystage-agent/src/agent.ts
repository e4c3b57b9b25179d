/**
 * The agent: the only way to the backend server beside it. It wires sessions
 * of entries and of other agents to the ledger and the stages, and reports its
 * load and offers in heartbeats.
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
import {CallDesk} from './call-desk.js';
import {ClaimDesk} from './claim-desk.js';
import {EngineClient} from './engine-client.js';
import {type EntryKey, EntrySessions} from './entry-sessions.js';
import {findMismatch} from './layer-match.js';
import {createSchedulers} from './schedulers.js';
import {ServiceClient} from './service-client.js';
import {StageDesk} from './stage-desk.js';

export type RunningAgent = {
	/** Address for sessions. */
	readonly address: string;
	readonly operatorAddress: string;
	/** The table as this agent has it. */
	readonly tables: Observable<TableSnapshot>;
	/** Takes no new work, lets the work in flight end, then stops. */
	readonly drain: () => Promise<void>;
	/** Ends at once. */
	readonly stop: () => Promise<void>;
};

const offerIntervalMs = 1000;
/** A host that does not answer a hello for this long cannot be reached. */
const handshakeMs = 800;
const sweepIntervalMs = 10_000;
const drainStepMs = 50;
/** A leaving agent says so in heartbeats for at least this long. */
const leavingNoticeMs = 1000;
/** How long an entry may have no session before its stages are cancelled. */
const entryGraceMs = 5000;

const readClock = () => performance.now();

/** Starts an agent; resolves when it listens. */
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
		handshakeMs: Math.min(settings.silenceMs, handshakeMs),
	};
	const entries = new EntrySessions();
	const {host, dataCentre, deployment} = settings;
	let leaving = false;
	let offers: Offer[] = [];

	const schedulers = createSchedulers(settings, () => offers);
	const describeLoad = (): LoadReport =>
		(settings.engine ? schedulers.steps : schedulers.calls).describeLoad(
			readClock(),
		);
	const describeSelf = (peer: SessionPeer) => ({
		leaving,
		offers,
		load: describeLoad(),
		table: follower.describe(peer),
	});
	const follower = new TableFollower({
		dataCentre,
		lifeCycle,
		logger,
		readClock,
	});
	const identity = {host, role: 'agent', dataCentre, incarnation} as const;
	const meter = new TrafficMeter();
	const pool = new SessionPool({
		meter,
		hello: {...identity, version: protocolVersion, deployment},
		timing,
		describeSelf: () => ({leaving}),
	});
	lifeCycle.register(() => {
		pool.close();
	});

	const sendToStage = (stage: Stage, message: Message) => {
		// Without a session, the stage sends again once there is one.
		pool.open(stage.address);
		pool.findSession(stage.address)?.send(message);
	};

	pool.events.subscribe((event) => {
		if (event.type === 'opened') {
			stages?.updatePeer('peerReturned', event.address);
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
	const stages = engine
		? new StageDesk({
				client: engine,
				scheduler: schedulers.steps,
				describeContext: () => ({
					leaving,
					findMismatch: (open) =>
						schedulers.steps.isFull
							? 'The queue is full.'
							: findMismatch(offers, open),
				}),
				sendToEntry(entry, message) {
					entries.send(entry, message);
				},
				sendToStage,
				onEngineLost() {
					void refreshOffers();
				},
				readClock,
			})
		: undefined;
	const calls = service
		? new CallDesk({
				client: service,
				claims: new ClaimDesk({
					platform: new PlatformClient(settings.platform),
					lifeCycle,
					self: {host, incarnation},
					handle(request, event) {
						calls?.handle(request, event);
					},
					readClock,
				}),
				scheduler: schedulers.calls,
				describeContext: () => ({incarnation, leaving}),
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
					pool.reopen(stage.address);
				}
			}
		}
	};

	const onSession = (session: Session, hello: Hello) => {
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
		void forgetSession(session, entry);
		if (entry) {
			stages?.resendTo(entry);
		}
	};

	const forgetSession = async (
		session: Session,
		entry: EntryKey | undefined,
	) => {
		const reason = await session.closed;
		logger.debug('session.closed', {
			peer: session.peer.host,
			reason: reason.detail,
		});
		if (entry && entries.remove(entry, session)) {
			lifeCycle.registerTimeout(entryGraceMs, () => {
				if (!entries.has(entry)) {
					stages?.cancelAll(entry);
				}
			});
		}
	};

	await refreshOffers();
	lifeCycle.registerInterval(offerIntervalMs, () => {
		void refreshOffers();
	});
	lifeCycle.registerInterval(sweepIntervalMs, () => {
		calls?.sweep(readClock());
		stages?.sweep(readClock());
	});
	const listener = await listenForSessions({
		meter,
		address: settings.listen,
		welcome: {type: 'welcome', ...identity},
		timing,
		describeSelf,
		check: (hello) => checkHello(hello, deployment),
		onSession,
	});
	lifeCycle.register(async () => listener.close());
	const registry = createMetrics(
		describeLoad,
		() => entries.size,
		() => follower.table.value.next,
	);
	registerTrafficCounters(registry, meter);
	const operators = await listenForOperators(settings.operatorListen, {
		registry,
		isReady: () => !leaving && offers.length > 0,
		dump: () => ({
			...identity,
			deployment,
			address: listener.address,
			leaving,
			offers,
			load: describeLoad(),
			...follower.summary,
			entrySessions: entries.size,
			openStages: stages?.open ?? 0,
			stages: stages?.describe() ?? [],
			stageRecords: stages?.records ?? 0,
			callRecords: calls?.records ?? 0,
		}),
	});
	lifeCycle.register(async () => operators.close());
	logger.info('agent.started', {address: listener.address, incarnation});

	const isIdle = () =>
		(stages?.open ?? 0) + (calls?.queued ?? 0) + (calls?.running ?? 0) === 0;
	return {
		address: listener.address,
		operatorAddress: operators.address,
		tables: follower.table.asObservable(),
		async drain() {
			leaving = true;
			logger.info('agent.leaving');
			await waitFor(leavingNoticeMs);
			while (!isIdle()) {
				// eslint-disable-next-line no-await-in-loop -- waits for work in flight
				await waitFor(drainStepMs);
			}

			await lifeCycle.stop();
			logger.info('agent.stopped');
		},
		async stop() {
			await lifeCycle.stop();
		},
	};
}

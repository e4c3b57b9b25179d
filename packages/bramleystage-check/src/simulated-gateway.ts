/**
 * A gateway in virtual time: the parts that follow the store and the peers, wired as in
 * the real process, without callers and backend servers.
 */
import type {Socket} from 'node:net';
import {
	createFailure,
	LifeCycle,
	type Logger,
	toDataCentreId,
} from 'bramleystage';
import {
	Fleet,
	followSharedState,
	type GatewaySettings,
	RetryBudget,
	servePeerSocket,
	type SharedState,
	startPeerServer,
} from 'bramleystage-gateway';
import {errAsync} from 'neverthrow';
import {Registry} from 'prom-client';
import {Subject} from 'rxjs';
import {createProcess, type SimulatedProcess} from './simulated-host.js';
import type {SimulatedNetwork} from './simulated-network.js';
import type {SimulatedSocket} from './simulated-socket.js';
import type {SimulatedStore} from './simulated-store.js';

/** Time after which the store drops a silent member of the group, in milliseconds. */
export const memberMs = 9000;

export type RetrySettings = Pick<
	GatewaySettings,
	'retryRatio' | 'retrySlack' | 'retryWindowMs'
>;

/** Time within which the gateways of a deployment start for the first time, in milliseconds. */
const maxFirstStartMs = 1000;

const defaultRetries: RetrySettings = {
	retryRatio: 0.2,
	retrySlack: 200,
	retryWindowMs: 10_000,
};

/** Nothing is told of crashes and limits. */
const noNews = {
	news: new Subject<void>(),
	acceptNews: () => undefined,
};

export type GatewayEvent = {
	readonly at: number;
	readonly event: string;
	readonly fields?: Readonly<Record<string, unknown>>;
};

export type SimulatedGatewayOptions = {
	/** `host:port`. */
	readonly address: string;
	readonly seeds: readonly string[];
	readonly network: SimulatedNetwork;
	readonly store: SimulatedStore;
	readonly draw: () => number;
	readonly retries?: RetrySettings;
	/** Called with each version in force. */
	readonly recordVersion: (version: number) => void;
	readonly recordEvent: (event: GatewayEvent) => void;
};

export class SimulatedGateway {
	process: SimulatedProcess = {...createProcess(), isEnded: true};
	state: SharedState | undefined;
	/** Retry budget of the running process. */
	retryBudget: RetryBudget | undefined;
	#hasRun = false;
	#backAt: number | undefined;
	#sockets = new Set<SimulatedSocket>();
	#publish: (() => void) | undefined;

	constructor(private readonly options: SimulatedGatewayOptions) {}

	get address(): string {
		return this.options.address;
	}

	get isRunning(): boolean {
		return !this.process.isEnded;
	}

	/** Version in force; -1 if none. */
	get version(): number {
		return this.state?.configurations.value?.version ?? -1;
	}

	/** Starts a process on the host. */
	start(): void {
		const {network, address} = this.options;
		const process = createProcess();
		this.process = process;
		this.#backAt = undefined;
		this.#sockets = new Set();
		network.dark.delete(address);
		network.hosts.schedule(process, 0, () => {
			void this.#open(process);
		});
	}

	/** Kills the process; without power nobody is told. */
	kill({isPowerLoss}: {isPowerLoss: boolean}): void {
		const {network, address} = this.options;
		this.process.isEnded = true;
		this.state = undefined;
		this.retryBudget = undefined;
		if (isPowerLoss) {
			network.dark.add(address);
		} else {
			network.closeConnections(this.#sockets);
		}
	}

	/** Leaves the group and ends, as a planned stop does. */
	stop(stopMs: number): void {
		const {network} = this.options;
		const {process} = this;
		network.hosts.schedule(process, 0, () => {
			this.#backAt = network.hosts.now + stopMs;
			this.#publish?.();
			void this.state?.group.leave();
		});
		network.hosts.schedule(process, stopMs, () => {
			this.kill({isPowerLoss: false});
		});
	}

	async #open(process: SimulatedProcess): Promise<void> {
		const {
			address,
			seeds,
			network,
			store,
			draw,
			retries = defaultRetries,
			recordVersion,
			recordEvent,
		} = this.options;
		const {hosts} = network;
		const lifeCycle = new LifeCycle();
		const readClock = () => hosts.now;
		const log: Logger['info'] = (event, fields) => {
			recordEvent({at: hosts.now, event, fields});
		};

		const logger: Logger = {
			error: log,
			warn: log,
			info: log,
			debug: () => undefined,
		};
		const readLinkDelayMs = () => 0;
		// One that joins later finds a deployment that has started before.
		const isFirstStart = !this.#hasRun && hosts.now < maxFirstStartMs;
		this.#hasRun = true;
		const fleet: Fleet = new Fleet({
			dataCentre: toDataCentreId('a'),
			logger,
			readClock,
			countGateways: () => state.group.size,
			readLinkDelayMs,
		});
		const crashes = {...noNews, buildNews: () => ({revision: 0})};
		const limits = {...noNews, buildNews: () => ({changeCount: 0})};
		const base = {lifeCycle, logger, readClock, readLinkDelayMs};
		const state: SharedState = followSharedState({
			settings: {
				peerListen: address,
				seeds,
				memberMs,
				retryWindowMs: retries.retryWindowMs,
				isFirstStart,
			},
			store: store.createPort(address, process),
			fleet,
			registry: new Registry(),
			crashes,
			limits,
			findBackAt: () => this.#backAt,
			recordLinkEvent: () => undefined,
			drawRandom: draw,
			openSocket: (to) => {
				const socket = network.connect(address, process, to);
				this.#keep(socket);
				return socket as unknown as Socket;
			},
			...base,
		});
		this.state = state;
		this.retryBudget = new RetryBudget(
			{...retries, isFirstStart},
			(now) => state.group.share.describe(now).share,
			readClock,
		);
		const publisher = await startPeerServer({
			address,
			readState: state.readState,
			onPing: state.recordPing,
			onMemberCount(told) {
				state.group.share.recordMemberCount(told, readClock());
			},
			onGroupFence(fence) {
				state.group.recordPeerFence(fence);
			},
			peerLinks: state.peerLinks,
			peerSync: state.peerSync,
			fleet,
			crashes,
			limits,
			permits: {accept: () => undefined},
			listen: async (_address, handlers) => {
				network.listeners.set(address, {
					process,
					accept: (socket) => {
						this.#keep(socket as unknown as SimulatedSocket);
						servePeerSocket(socket, handlers, {encoder: plainEncoder, logger});
					},
				});
			},
			...base,
		});
		this.#publish = () => {
			publisher.publish();
		};

		state.configurations.subscribe((configuration) => {
			if (configuration) {
				recordVersion(configuration.version);
				publisher.publish();
			}
		});
	}

	#keep(socket: SimulatedSocket): void {
		this.#sockets.add(socket);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
	}
}

/** Leaves configurations as they are: compression takes real time. */
const plainEncoder = {
	encode: () => errAsync(createFailure('badFrame', 'Not compressed.')),
};

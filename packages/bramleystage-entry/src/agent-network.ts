/**
 * The entry's connections to agents: polls the platform's host list, keeps
 * sessions to a subset of the agents, and maintains the hosts snapshot from
 * their heartbeats.
 */
import {
	applyHeartbeat,
	applyHostList,
	applySessionLost,
	type ConnectedHost,
	createHosts,
	type Failure,
	type Heartbeat,
	type HostId,
	type HostsSnapshot,
	type Incarnation,
	type LifeCycle,
	listSessionAddresses,
	type ListedHost,
	type Message,
	type PlatformClient,
	selectAgentPeers,
	type Session,
	type SessionPool,
} from 'bramleystage';
import {Subject} from 'rxjs';

export type AgentNetworkEvent =
	/** A session to the host is open and its first heartbeat has arrived. */
	| {readonly type: 'opened'; readonly host: ConnectedHost}
	/** The session ended; it may be reopened. */
	| {readonly type: 'lost'; readonly host: ConnectedHost}
	/** The host is unreachable, or another incarnation replaced it. */
	| {readonly type: 'unreachable'; readonly host: ConnectedHost}
	| {
			readonly type: 'message';
			readonly from: HostId;
			readonly incarnation: Incarnation;
			readonly message: Message;
	  };

const hostListIntervalMs = 500;

export class AgentNetwork {
	readonly events = new Subject<AgentNetworkEvent>();
	/** Emits the platform's host list each time it was read. */
	readonly hostLists = new Subject<readonly ListedHost[]>();
	#hosts = createHosts();
	/** Hosts whose session ended and is being reopened, by address. */
	readonly #reconnecting = new Map<string, ConnectedHost>();
	/** Hosts and addresses of the list for which the agents were last selected. */
	#selectedListKey = '';
	#selectedAddresses: ReadonlySet<string> = new Set();

	constructor(
		private readonly options: {
			readonly platform: PlatformClient;
			readonly pool: SessionPool;
			readonly lifeCycle: LifeCycle;
			readonly readClock: () => number;
			readonly self: HostId;
			/** Maximum number of agents to which this entry keeps sessions. */
			readonly maxAgentSessions: number;
			/** Called with each load report. */
			readonly onLoadReport?: (host: ConnectedHost) => void;
		},
	) {
		const {pool, lifeCycle} = options;
		pool.events.subscribe((event) => {
			switch (event.type) {
				case 'message': {
					this.#handleMessage(event.session, event.address, event.message);

					break;
				}

				case 'closed': {
					this.#handleClosed(event.session, event.reason);

					break;
				}

				case 'refused': {
					this.#reportUnreachable(event.address);

					break;
				}
				// No default
			}
		});
		lifeCycle.registerInterval(hostListIntervalMs, () => {
			void this.refreshHostList();
		});
	}

	get hosts(): HostsSnapshot {
		return this.#hosts;
	}

	/** Reads the platform's host list; keeps the previous one if the read fails. */
	async refreshHostList(): Promise<void> {
		const listed = await this.options.platform.listHosts();
		if (listed.isErr() || this.options.lifeCycle.isStopped) {
			return;
		}

		this.#hosts = applyHostList(this.#hosts, listed.value);
		this.options.pool.setAddresses(this.#listWantedAddresses(listed.value));
		this.hostLists.next(listed.value);
	}

	/** Sends a message to a host; drops it if there is no session. */
	send(host: HostId, message: Message): void {
		const address =
			this.#hosts.connected.get(host)?.address ??
			this.#hosts.listed.get(host)?.address;
		if (address !== undefined) {
			this.options.pool.findSession(address)?.send(message);
		}
	}

	/**
	 * Lists the addresses to keep sessions to: selected agents, hosts whose session
	 * is being reopened, and connected hosts that are no longer listed.
	 */
	#listWantedAddresses(listed: readonly ListedHost[]): Set<string> {
		const wanted = new Set([
			...this.#selectAddresses(listed),
			...this.#reconnecting.keys(),
		]);
		return listSessionAddresses(this.#hosts, wanted);
	}

	#reportUnreachable(address: string): void {
		const host = this.#reconnecting.get(address);
		if (host) {
			this.#reconnecting.delete(address);
			this.events.next({type: 'unreachable', host});
		}
	}

	/**
	 * Selects agents again only if the list changed: the selection is slow at a
	 * large site.
	 */
	#selectAddresses(listed: readonly ListedHost[]): ReadonlySet<string> {
		const key = listed
			.map(({host, address}) => `${host} ${address}`)
			.join('\n');
		if (key !== this.#selectedListKey) {
			this.#selectedListKey = key;
			this.#selectedAddresses = this.#computeAgentAddresses(listed);
		}

		return this.#selectedAddresses;
	}

	#computeAgentAddresses(listed: readonly ListedHost[]): Set<string> {
		const entries = listed.filter(({role}) => role === 'entry');
		const agents = listed.filter(({role}) => role === 'agent');
		const {self, maxAgentSessions} = this.options;
		const selected = new Set(
			selectAgentPeers(self, entries, agents, maxAgentSessions),
		);
		return new Set(
			agents.filter(({host}) => selected.has(host)).map(({address}) => address),
		);
	}

	#handleMessage(session: Session, address: string, message: Message): void {
		if (message.type === 'heartbeat') {
			this.#handleHeartbeat(session, address, message);
		} else {
			const {host: from, incarnation} = session.peer;
			this.events.next({type: 'message', from, incarnation, message});
		}
	}

	#handleHeartbeat(
		session: Session,
		address: string,
		heartbeat: Heartbeat,
	): void {
		const {host, dataCentre, incarnation} = session.peer;
		const known = this.#hosts.connected.get(host);
		const now = this.options.readClock();
		this.#hosts = applyHeartbeat(
			this.#hosts,
			{host, address, dataCentre, incarnation, now},
			heartbeat,
		);
		const connected = this.#hosts.connected.get(host);
		if (connected?.incarnation !== incarnation) {
			return;
		}

		const isNew = known?.incarnation !== incarnation;
		this.options.onLoadReport?.(connected);
		if (this.#reconnecting.get(address)?.incarnation === incarnation) {
			this.#reconnecting.delete(address);
		}

		if (isNew) {
			this.#reportUnreachable(address);
			this.events.next({type: 'opened', host: connected});
		}
	}

	#handleClosed(session: Session, reason: Failure): void {
		const {host, incarnation} = session.peer;
		const known = this.#hosts.connected.get(host);
		this.#hosts = applySessionLost(
			this.#hosts,
			host,
			incarnation,
			this.options.readClock(),
		);
		if (known?.incarnation === incarnation) {
			this.#reconnecting.set(known.address, known);
			// This process ended the session, so it is not reopened.
			if (reason.result === 'stopping') {
				this.#reportUnreachable(known.address);
			}

			this.events.next({type: 'lost', host: known});
		}
	}
}

/**
 * The entry's view of the other hosts: follows the platform's host list, keeps
 * sessions to agents, and folds what the sessions say into the hosts snapshot.
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

export type NetworkEvent =
	| {readonly type: 'opened'; readonly host: ConnectedHost}
	/** The session ended; the host may be reached again. */
	| {readonly type: 'lost'; readonly host: ConnectedHost}
	/** The host can't be reached, or another incarnation took its place. */
	| {readonly type: 'gone'; readonly host: ConnectedHost}
	| {
			readonly type: 'message';
			readonly from: HostId;
			readonly incarnation: Incarnation;
			readonly message: Message;
	  };

const hostListIntervalMs = 500;

export class Network {
	readonly events = new Subject<NetworkEvent>();
	/** The platform's list, each time it was read. */
	readonly listed = new Subject<readonly ListedHost[]>();
	#hosts = createHosts();
	/** Hosts whose session ended and is being opened again, by address. */
	readonly #reopening = new Map<string, ConnectedHost>();
	#selectedFor = '';
	#selected: ReadonlySet<string> = new Set();

	constructor(
		private readonly options: {
			readonly platform: PlatformClient;
			readonly pool: SessionPool;
			readonly lifeCycle: LifeCycle;
			readonly readClock: () => number;
			readonly self: HostId;
			/** Most agents that this entry keeps sessions to. */
			readonly maxAgentSessions: number;
			/** Called with each load report. */
			readonly onReport?: (host: ConnectedHost) => void;
		},
	) {
		const {pool, lifeCycle} = options;
		pool.events.subscribe((event) => {
			switch (event.type) {
				case 'message': {
					this.#receive(event.session, event.address, event.message);

					break;
				}

				case 'closed': {
					this.#forget(event.session, event.reason);

					break;
				}

				case 'refused': {
					this.#giveUp(event.address);

					break;
				}
				// No default
			}
		});
		lifeCycle.registerInterval(hostListIntervalMs, () => {
			void this.refresh();
		});
	}

	get hosts(): HostsSnapshot {
		return this.#hosts;
	}

	/** Reads the platform's host list; keeps the last one when it can't be read. */
	async refresh(): Promise<void> {
		const listed = await this.options.platform.listHosts();
		if (listed.isErr() || this.options.lifeCycle.isStopped) {
			return;
		}

		this.#hosts = applyHostList(this.#hosts, listed.value);
		this.options.pool.update(
			new Set([
				...listSessionAddresses(
					this.#hosts,
					this.#selectAddresses(listed.value),
				),
				...this.#reopening.keys(),
			]),
		);
		this.listed.next(listed.value);
	}

	/** Sends to a host, if there is a session to it. */
	send(host: HostId, message: Message): void {
		const address =
			this.#hosts.connected.get(host)?.address ??
			this.#hosts.listed.get(host)?.address;
		if (address !== undefined) {
			this.options.pool.findSession(address)?.send(message);
		}
	}

	#giveUp(address: string): void {
		const host = this.#reopening.get(address);
		if (host) {
			this.#reopening.delete(address);
			this.events.next({type: 'gone', host});
		}
	}

	/** Selects again only when the list changed, since that takes long at a large site. */
	#selectAddresses(listed: readonly ListedHost[]): ReadonlySet<string> {
		const key = listed
			.map(({host, address}) => `${host} ${address}`)
			.join('\n');
		if (key !== this.#selectedFor) {
			this.#selectedFor = key;
			this.#selected = this.#selectAgents(listed);
		}

		return this.#selected;
	}

	#selectAgents(listed: readonly ListedHost[]): Set<string> {
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

	#receive(session: Session, address: string, message: Message): void {
		if (message.type === 'heartbeat') {
			this.#update(session, address, message);
		} else {
			const {host: from, incarnation} = session.peer;
			this.events.next({type: 'message', from, incarnation, message});
		}
	}

	#update(session: Session, address: string, heartbeat: Heartbeat): void {
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
		this.options.onReport?.(connected);
		if (this.#reopening.get(address)?.incarnation === incarnation) {
			this.#reopening.delete(address);
		}

		if (isNew) {
			this.#giveUp(address);
			this.events.next({type: 'opened', host: connected});
		}
	}

	#forget(session: Session, reason: Failure): void {
		const {host, incarnation} = session.peer;
		const known = this.#hosts.connected.get(host);
		this.#hosts = applySessionLost(
			this.#hosts,
			host,
			incarnation,
			this.options.readClock(),
		);
		if (known?.incarnation === incarnation) {
			this.#reopening.set(known.address, known);
			// This process ended the session, so it will not be opened again.
			if (reason.result === 'stopping') {
				this.#giveUp(known.address);
			}

			this.events.next({type: 'lost', host: known});
		}
	}
}

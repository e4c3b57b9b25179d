/**
 * Sessions between entries, for the exchange of permits. Each entry accepts
 * sessions of the others. At a small site it opens a session to every other
 * entry; at a larger one only to entries to which it has a message to send.
 */
import {
	checkHello,
	type Hello,
	type HostId,
	type LifeCycle,
	type Logger,
	type ListedHost,
	listenForSessions,
	type Message,
	type Session,
	type SessionPeer,
	SessionPool,
	type SessionTiming,
	type TrafficMeter,
} from 'bramleystage';
import {Subject} from 'rxjs';

/** Maximum number of other entries for which a session to each is kept open. */
const maxFullMeshPeers = 16;

export type PeerMessage = {
	readonly from: SessionPeer;
	readonly message: Message;
};

export type EntryPeersOptions = {
	readonly listen: string;
	readonly identity: Omit<Hello, 'session' | 'type'>;
	readonly timing: SessionTiming;
	readonly isDraining: () => boolean;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly meter: TrafficMeter;
};

export class EntryPeers {
	readonly messages = new Subject<PeerMessage>();
	readonly #pool: SessionPool;
	readonly #addresses = new Map<HostId, string>();
	#address = '';

	constructor(private readonly options: EntryPeersOptions) {
		const {identity, timing, isDraining, lifeCycle, meter} = options;
		this.#pool = new SessionPool({
			meter,
			hello: identity,
			timing,
			describeSelf: () => ({leaving: isDraining()}),
		});
		lifeCycle.register(() => {
			this.#pool.close();
		});
	}

	/** Address at which this entry accepts sessions; empty before `start`. */
	get address(): string {
		return this.#address;
	}

	/** Starts accepting sessions of other entries. */
	async start(): Promise<void> {
		const {listen, identity, timing, isDraining, lifeCycle, logger, meter} =
			this.options;
		const {version: _version, deployment, ...welcome} = identity;
		const listener = await listenForSessions({
			meter,
			address: listen,
			logger,
			welcome: {type: 'welcome', ...welcome},
			timing,
			describeSelf: () => ({leaving: isDraining()}),
			check: (hello) => checkHello(hello, deployment),
			onSession: (session) => {
				this.#subscribe(session);
			},
		});
		lifeCycle.register(async () => listener.close());
		this.#address = listener.address;
	}

	/** Applies the platform's host list. */
	update(listed: Iterable<ListedHost>): void {
		this.#addresses.clear();
		for (const {host, role, address} of listed) {
			if (role === 'entry' && host !== this.options.identity.host) {
				this.#addresses.set(host, address);
			}
		}

		const isFullMesh = this.#addresses.size <= maxFullMeshPeers;
		this.#pool.setAddresses(
			new Set(isFullMesh ? this.#addresses.values() : []),
		);
	}

	/**
	 * Sends a message to another entry. Without a session returns false, drops the
	 * message and opens a session for later ones.
	 */
	send(host: HostId, message: Message): boolean {
		const address = this.#addresses.get(host);
		if (address === undefined) {
			return false;
		}

		const session = this.#pool.findSession(address);
		if (!session) {
			this.#pool.open(address);
			return false;
		}

		session.send(message);
		return true;
	}

	#subscribe(session: Session): void {
		session.messages.subscribe((message) => {
			this.messages.next({from: session.peer, message});
		});
	}
}

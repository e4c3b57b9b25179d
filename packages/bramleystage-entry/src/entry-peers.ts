/**
 * Sessions between entries, for the exchange of permits. Each entry listens for
 * the others and opens a session to each that it needs: to all of them at a
 * small site, else to those it has something to ask.
 */
import {
	checkHello,
	type Hello,
	type HostId,
	type LifeCycle,
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

/** Up to this many other entries, a session to each is kept. */
const maxKeptSessions = 16;

export type PeerMessage = {
	readonly from: SessionPeer;
	readonly message: Message;
};

export type EntryPeersOptions = {
	readonly listen: string;
	readonly identity: Omit<Hello, 'session' | 'type'>;
	readonly timing: SessionTiming;
	readonly isLeaving: () => boolean;
	readonly lifeCycle: LifeCycle;
	readonly meter: TrafficMeter;
};

export class EntryPeers {
	readonly messages = new Subject<PeerMessage>();
	readonly #pool: SessionPool;
	readonly #addresses = new Map<HostId, string>();
	#address = '';

	constructor(private readonly options: EntryPeersOptions) {
		const {identity, timing, isLeaving, lifeCycle, meter} = options;
		this.#pool = new SessionPool({
			meter,
			hello: identity,
			timing,
			describeSelf: () => ({leaving: isLeaving()}),
		});
		lifeCycle.register(() => {
			this.#pool.close();
		});
	}

	/** Address at which the other entries reach this one. */
	get address(): string {
		return this.#address;
	}

	/** Listens for the other entries. */
	async start(): Promise<void> {
		const {listen, identity, timing, isLeaving, lifeCycle, meter} =
			this.options;
		const {version: _version, deployment, ...welcome} = identity;
		const listener = await listenForSessions({
			meter,
			address: listen,
			welcome: {type: 'welcome', ...welcome},
			timing,
			describeSelf: () => ({leaving: isLeaving()}),
			check: (hello) => checkHello(hello, deployment),
			onSession: (session) => {
				this.#take(session);
			},
		});
		lifeCycle.register(async () => listener.close());
		this.#address = listener.address;
	}

	/** Takes the platform's host list. */
	update(listed: Iterable<ListedHost>): void {
		this.#addresses.clear();
		for (const {host, role, address} of listed) {
			if (role === 'entry' && host !== this.options.identity.host) {
				this.#addresses.set(host, address);
			}
		}

		const isSmall = this.#addresses.size <= maxKeptSessions;
		this.#pool.update(new Set(isSmall ? this.#addresses.values() : []));
	}

	/** Sends to another entry; false when there is no session to it now. */
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

	#take(session: Session): void {
		session.messages.subscribe((message) => {
			this.messages.next({from: session.peer, message});
		});
	}
}

/** The connections to the gateways that this one follows, and what they tell. */
import type {
	LifeCycle,
	LinkEvent,
	Logger,
	MemberCount,
	TimedTotal,
} from 'bramleystage';
import type {CrashLedger} from './crash-ledger.js';
import type {DemandWatch} from './demand-watch.js';
import type {LimitWatch} from './limit-watch.js';
import {PeerLink} from './peer-link.js';
import {
	isStalePeer,
	type PeerRecord,
	selectFollowedPeers,
} from './peer-selection.js';
import type {OpenPeerSocket} from './peer-socket.js';
import type {GroupState, PeerState} from './peer-update.js';

/** How often the followed gateways are selected again, in milliseconds. */
const selectIntervalMs = 200;

export type PeerLinksOptions = {
	/** Returns `host:port` at which other gateways reach this one; undefined if it is stopping. */
	readonly findSender?: () => string | undefined;
	/** Returns the addresses of the other gateways, sorted. */
	readonly listPeers: () => readonly string[];
	readonly onUpdate: (state: PeerState, address: string) => void;
	readonly crashes: Pick<CrashLedger, 'acceptNews' | 'buildNews'>;
	readonly limits: Pick<LimitWatch, 'acceptNews' | 'buildNews'>;
	/** Builds the own load that is sent to followed peers; absent if none is measured. */
	readonly demand?: Pick<DemandWatch, 'buildSums'>;
	/** Returns the fence of the group's state that this gateway knows. */
	readonly readGroupFence: () => number | undefined;
	/** Finds the largest number of gateways that this one is sure of or was told. */
	readonly findMemberCount?: (now: number) => MemberCount | undefined;
	/** Receives what the connections show of the own link's delay. */
	readonly recordLinkEvent: (event: LinkEvent) => void;
	readonly openSocket?: OpenPeerSocket;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

/** Age up to which a peer's state is fresh, in milliseconds; the interval of its reads plus that of pings is shorter. */
const maxFreshAgeMs = 1200;
/** Age of a peer's list above which it is assumed to have lost the store, in milliseconds: several reads have failed. */
const storeLossAgeMs = 2500;

export class PeerLinks {
	readonly #links = new Map<string, PeerLink>();
	readonly #records = new Map<string, PeerRecord>();

	constructor(private readonly options: PeerLinksOptions) {
		options.lifeCycle.registerInterval(selectIntervalMs, () => {
			this.#selectPeers(options.readClock());
		});
		options.lifeCycle.register(() => {
			for (const link of this.#links.values()) {
				link.close();
			}
		});
	}

	/** Pings all followed peers, which sends them news at once. */
	sendPings(): void {
		for (const link of this.#links.values()) {
			link.sendPing();
		}
	}

	/** Returns the last known state of a followed peer; undefined if it is silent or not followed. */
	findPeerState(address: string): PeerState | undefined {
		const link = this.#links.get(address);
		return link?.isOpen && link.isAlive(this.options.readClock())
			? link.state
			: undefined;
	}

	/**
	 * Whether a followed peer is informed of the store, not by this gateway, and
	 * sends updates. Only peers that precede this gateway by address count, unless
	 * this one has lost the store.
	 */
	hasPublisher(self: string, isStoreLost: boolean): boolean {
		const since = this.options.readClock() - maxFreshAgeMs;
		return [...this.#links.keys()].some((address) => {
			const isCandidate = isStoreLost || address < self;
			const state = isCandidate ? this.findPeerState(address) : undefined;
			return (
				state !== undefined &&
				state.reader !== self &&
				state.listReadAt > since &&
				state.configurationReadAt > since
			);
		});
	}

	/** Whether no followed peer can reach the store; if no peer's state is known, whether there are no other gateways. */
	get isStoreUnreachable(): boolean {
		const since = this.options.readClock() - storeLossAgeMs;
		const states = [...this.#links.keys()].flatMap(
			(address) => this.findPeerState(address) ?? [],
		);
		return states.length > 0
			? states.every(({listReadAt}) => listReadAt < since)
			: this.options.listPeers().length === 0;
	}

	/** Finds the newest state of the group that a followed peer knows. */
	findGroup(): GroupState | undefined {
		const groups = [...this.#links.keys()].flatMap(
			(address) => this.findPeerState(address)?.group ?? [],
		);
		return groups.toSorted((a, b) => b.fence - a.fence)[0];
	}

	/** Lists the totals of load that the followed peers have sent last; over a slow link they are older than what counts as alive. */
	listTotals(): TimedTotal[] {
		return [...this.#links.values()].flatMap(({state}) => state.demand ?? []);
	}

	/** Finds the steady-clock time at which the first followed peer serves; in the past if one serves now. */
	findServingAt(): number | undefined {
		const times = [...this.#links.keys()].flatMap((address) => {
			const state = this.findPeerState(address);
			return state ? (state.backAt ?? state.aliveAt) : [];
		});
		return times.length > 0 ? Math.min(...times) : undefined;
	}

	#selectPeers(now: number): void {
		for (const [address, link] of this.#links) {
			const {listReadAt} = link.state;
			// From another peer the update under way would begin anew.
			const isStale =
				!link.isReceiving(now) &&
				isStalePeer({followedAt: link.openedAt, listReadAt}, now);
			if (isStale) {
				this.#records.set(address, {staleAt: now});
			}
		}

		const wanted = selectFollowedPeers(
			this.options.listPeers(),
			this.#records,
			now,
		);
		for (const [address, link] of this.#links) {
			if (!wanted.includes(address)) {
				this.#links.delete(address);
				link.close();
			}
		}

		for (const address of wanted) {
			if (!this.#links.has(address)) {
				this.#open(address);
			}
		}
	}

	#open(address: string): void {
		const {readClock} = this.options;
		const link: PeerLink = new PeerLink({
			...this.options,
			address,
			onEnd: () => {
				if (this.#links.get(address) === link) {
					this.#links.delete(address);
					this.#records.set(address, {lostAt: readClock()});
				}
			},
		});
		this.#links.set(address, link);
	}
}

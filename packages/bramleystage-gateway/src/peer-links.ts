/**
 * Selects the gateways that this one follows: the first two others by address
 * that answer. As all gateways select alike, the same two send updates to nearly
 * all others, and each of the two follows the other one.
 */
import type {LifeCycle, Logger} from 'bramleystage';
import {PeerLink} from './peer-link.js';
import type {PeerState} from './peer-update.js';

/** Gateways that each one follows; if one is lost, the other remains. */
const maxFollowedPeers = 2;
/** How often the followed gateways are selected again, in milliseconds. */
const selectIntervalMs = 200;
/** Time for which a lost gateway is not selected, in milliseconds. */
const lostPeerBackoffMs = 2000;

export type PeerLinksOptions = {
	/** Returns the addresses of the other gateways, sorted. */
	readonly listPeers: () => readonly string[];
	readonly onUpdate: (state: PeerState) => void;
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
	/** Steady-clock time at which each lost peer was lost, in milliseconds. */
	readonly #lostAt = new Map<string, number>();

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

	/** Returns the last known state of a followed peer; undefined if it is silent or not followed. */
	findPeerState(address: string): PeerState | undefined {
		const link = this.#links.get(address);
		return link?.isOpen && link.isAlive(this.options.readClock())
			? link.state
			: undefined;
	}

	/** Whether a followed peer that precedes `self` by address has recently read the store and sends updates. */
	hasPublisherBefore(self: string): boolean {
		const since = this.options.readClock() - maxFreshAgeMs;
		return [...this.#links.keys()].some((address) => {
			const state = address < self ? this.findPeerState(address) : undefined;
			return (
				state !== undefined &&
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

	/** Finds the steady-clock time at which the first followed peer serves; in the past if one serves now. */
	findServingAt(): number | undefined {
		const times = [...this.#links.keys()].flatMap((address) => {
			const state = this.findPeerState(address);
			return state ? (state.backAt ?? state.aliveAt) : [];
		});
		return times.length > 0 ? Math.min(...times) : undefined;
	}

	#selectPeers(now: number): void {
		const wanted = this.options
			.listPeers()
			.filter((address) => {
				const lostAt = this.#lostAt.get(address);
				return lostAt === undefined || now - lostAt > lostPeerBackoffMs;
			})
			.slice(0, maxFollowedPeers);
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
		const {logger, readClock, onUpdate} = this.options;
		const link: PeerLink = new PeerLink({
			address,
			logger,
			readClock,
			onUpdate,
			onEnd: () => {
				if (this.#links.get(address) === link) {
					this.#links.delete(address);
					this.#lostAt.set(address, readClock());
				}
			},
		});
		this.#links.set(address, link);
	}
}

/**
 * The gateways that this one follows: the first two others by address that
 * answer. As all choose alike, two gateways tell nearly all of the others, and
 * each of the two follows the other one.
 */
import type {LifeCycle, Logger} from 'bramleystage';
import {PeerLink} from './peer-link.js';
import type {PeerKnowledge} from './peer-news.js';

/** Gateways that each one follows; the loss of one leaves the other. */
const followedPeers = 2;
/** How often the choice is made anew, in milliseconds. */
const chooseMs = 200;
/** Time for which a gateway that was lost is passed over, in milliseconds. */
const passOverMs = 2000;

export type PeerLinksOptions = {
	/** Addresses of the other gateways, the first by address first. */
	readonly listPeers: () => readonly string[];
	readonly onNews: (knowledge: PeerKnowledge) => void;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

/** Age up to which what a peer knows is fresh, in milliseconds: its reads and beats take less. */
const freshMs = 1200;
/** Age of a peer's list at which it has lost the store, in milliseconds: several reads have failed. */
const awayMs = 2500;

export class PeerLinks {
	readonly #links = new Map<string, PeerLink>();
	/** Present time at which each lost peer was lost, in milliseconds. */
	readonly #lostAt = new Map<string, number>();

	constructor(private readonly options: PeerLinksOptions) {
		options.lifeCycle.registerInterval(chooseMs, () => {
			this.#choose(options.readClock());
		});
		options.lifeCycle.register(() => {
			for (const link of this.#links.values()) {
				link.close();
			}
		});
	}

	/** What a followed peer has told; nothing if it is not followed or silent. */
	findKnowledge(address: string): PeerKnowledge | undefined {
		const link = this.#links.get(address);
		return link?.isOpen && link.isAlive(this.options.readClock())
			? link.knowledge
			: undefined;
	}

	/** Whether a followed peer that comes before an address reads the store for it. */
	hasTellerBefore(self: string): boolean {
		const since = this.options.readClock() - freshMs;
		return [...this.#links.keys()].some((address) => {
			const known = address < self ? this.findKnowledge(address) : undefined;
			return (
				known !== undefined &&
				known.listReadAt > since &&
				known.configurationReadAt > since
			);
		});
	}

	/** Whether no other gateway is in contact with the store, as far as known. */
	get isStoreAway(): boolean {
		const since = this.options.readClock() - awayMs;
		const known = [...this.#links.keys()].flatMap(
			(address) => this.findKnowledge(address) ?? [],
		);
		return known.length > 0
			? known.every(({listReadAt}) => listReadAt < since)
			: this.options.listPeers().length === 0;
	}

	/** Finds when the first followed peer serves: a time that has passed if one does now. */
	findServingAt(): number | undefined {
		const times = [...this.#links.keys()].flatMap((address) => {
			const known = this.findKnowledge(address);
			return known ? (known.backAt ?? known.aliveAt) : [];
		});
		return times.length > 0 ? Math.min(...times) : undefined;
	}

	#choose(now: number): void {
		const wanted = this.options
			.listPeers()
			.filter((address) => {
				const lostAt = this.#lostAt.get(address);
				return lostAt === undefined || now - lostAt > passOverMs;
			})
			.slice(0, followedPeers);
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
		const {logger, readClock, onNews} = this.options;
		const link: PeerLink = new PeerLink({
			address,
			logger,
			readClock,
			onNews,
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

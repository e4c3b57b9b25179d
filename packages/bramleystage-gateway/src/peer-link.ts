/** A persistent connection to a followed gateway, which sends peer updates over it. */
import type {Socket} from 'node:net';
import {
	encodeValueFrame,
	LifeCycle,
	type LinkEvent,
	type Logger,
	type MemberCount,
} from 'bramleystage';
import type {CrashLedger} from './crash-ledger.js';
import type {DemandWatch} from './demand-watch.js';
import type {LimitWatch} from './limit-watch.js';
import {checkValue, listenForFrames} from './peer-frames.js';
import {openPeerSocket, type OpenPeerSocket} from './peer-socket.js';
import {
	applyPeerUpdate,
	createPeerState,
	encodeMemberCount,
	peerUpdateSchema,
	type PeerState,
} from './peer-update.js';

/** How often the peer is pinged for an update, in milliseconds; it sends changes at once. */
const pingIntervalMs = 300;
/** Time without an update after which the peer's state counts for nothing, and without a byte after which the peer counts as lost, in milliseconds: three pings. */
const maxSilenceMs = 900;
/**
 * Time without a complete update after which the peer counts as lost although
 * bytes arrive, in milliseconds; a list of 1 MB takes that long at 0.7 Mbit/s.
 */
const maxUpdateMs = 12_000;

/** What shows whether a peer is lost; times are in milliseconds of the steady clock. */
export type PeerContact = {
	readonly openedAt: number;
	/** When the last bytes arrived. */
	readonly bytesAt: number;
	/** When the last complete update arrived. */
	readonly updateAt: number;
};

/**
 * Decides whether a peer is lost. Bytes of an update that is under way show that
 * it is not: on a new connection a large list would begin from its first byte.
 */
export const isPeerLost = (
	{openedAt, bytesAt, updateAt}: PeerContact,
	now: number,
): boolean =>
	now - Math.max(openedAt, bytesAt) >= maxSilenceMs ||
	now - Math.max(openedAt, updateAt) >= maxUpdateMs;

export type PeerLinkOptions = {
	/** `host:port`. */
	readonly address: string;
	/** Returns `host:port` at which other gateways reach this one; undefined if it is stopping. */
	readonly findSender?: () => string | undefined;
	readonly logger: Logger;
	readonly readClock: () => number;
	readonly onUpdate: (state: PeerState, address: string) => void;
	readonly crashes: Pick<CrashLedger, 'acceptNews' | 'buildNews'>;
	readonly limits: Pick<LimitWatch, 'acceptNews' | 'buildNews'>;
	/** Builds the own load that is sent; absent if none is measured. */
	readonly demand?: Pick<DemandWatch, 'buildSums'>;
	/** Returns the fence of the group's state that this gateway knows. */
	readonly readGroupFence: () => number | undefined;
	/** Finds the largest number of gateways that this one is sure of or was told. */
	readonly findMemberCount?: (now: number) => MemberCount | undefined;
	/** Receives what the connection shows of the own link's delay. */
	readonly recordLinkEvent: (event: LinkEvent) => void;
	readonly openSocket?: OpenPeerSocket;
	/** Called once, when the connection has ended. */
	readonly onEnd: () => void;
};

export class PeerLink {
	state: PeerState = createPeerState();
	/** Steady-clock time at which the connection was opened, in milliseconds. */
	readonly openedAt: number;
	readonly #lifeCycle = new LifeCycle();
	readonly #socket: Socket;
	#bytesAt = Number.NEGATIVE_INFINITY;
	#updateAt = Number.NEGATIVE_INFINITY;
	/** Revision of the crash evidence that was sent last. */
	#crashRevision = 0;
	/** Number of changes of servers' limits that were sent. */
	#limitChangeCount = 0;

	constructor(private readonly options: PeerLinkOptions) {
		const {
			address,
			readClock,
			recordLinkEvent,
			openSocket = openPeerSocket,
		} = options;
		this.openedAt = readClock();
		recordLinkEvent({
			kind: 'pingSent',
			peer: address,
			sentAt: this.openedAt,
		});
		this.#socket = openSocket(address);
		this.#socket.on('connect', () => {
			this.#recordAnswer(this.openedAt, 0);
			this.sendPing();
		});
		this.#socket.on('error', (error) => {
			options.logger.debug('peer.unreachable', {
				address,
				detail: error.message,
			});
		});
		this.#socket.on('close', () => {
			void this.#lifeCycle.stop();
			// An end after a silence may come from the own link, so its pings still count.
			if (this.isAlive(readClock())) {
				recordLinkEvent({kind: 'peerClosed', peer: address});
			}

			options.onEnd();
		});
		this.#socket.on('data', () => {
			this.#bytesAt = readClock();
		});
		listenForFrames(this.#socket, (value) => {
			const update = value.andThen((decoded) =>
				checkValue(decoded, peerUpdateSchema),
			);
			if (update.isErr()) {
				options.logger.warn('peer.bad', {address, detail: update.error.detail});
				this.close();
				return;
			}

			this.#updateAt = readClock();
			const {beatAt, heldMs, crashNews, limitNews} = update.value;
			this.#recordAnswer(beatAt, heldMs);
			if (crashNews) {
				options.crashes.acceptNews(crashNews, {
					writtenAfter: beatAt + heldMs,
					arrivedAt: this.#updateAt,
				});
			}

			if (limitNews) {
				options.limits.acceptNews(limitNews);
			}

			this.state = applyPeerUpdate(this.state, update.value);
			options.onUpdate(this.state, address);
		});
		this.#lifeCycle.registerInterval(pingIntervalMs, () => {
			const contact = {
				openedAt: this.openedAt,
				bytesAt: this.#bytesAt,
				updateAt: this.#updateAt,
			};
			if (isPeerLost(contact, readClock())) {
				this.close();
			} else {
				this.sendPing();
			}
		});
	}

	/**
	 * Whether the peer was alive recently, as an update shows, or the connection
	 * was opened recently. Bytes of an update under way don't count, as they tell
	 * nothing of the peer's state.
	 */
	isAlive(now: number): boolean {
		return now - Math.max(this.state.aliveAt, this.openedAt) < maxSilenceMs;
	}

	/** Whether bytes of an update have arrived recently that is not complete yet. */
	isReceiving(now: number): boolean {
		return this.#bytesAt > this.#updateAt && now - this.#bytesAt < maxSilenceMs;
	}

	/** Whether any update has been received. */
	get isOpen(): boolean {
		return Number.isFinite(this.state.aliveAt);
	}

	close(): void {
		this.#socket.destroy();
	}

	/** Asks for an update, and sends the crash evidence that the peer has not got yet. */
	sendPing(): void {
		if (this.#socket.writable && !this.#socket.connecting) {
			const {readClock, crashes, limits} = this.options;
			const beatAt = readClock();
			const {news, revision} = crashes.buildNews(this.#crashRevision, beatAt);
			this.#crashRevision = revision;
			const limitNews = limits.buildNews(this.#limitChangeCount);
			this.#limitChangeCount = limitNews.changeCount;
			this.options.recordLinkEvent({
				kind: 'pingSent',
				peer: this.options.address,
				sentAt: beatAt,
			});
			this.#socket.write(
				encodeValueFrame({
					beatAt,
					sender: this.options.findSender?.(),
					groupFence: this.options.readGroupFence(),
					memberCount: encodeMemberCount(
						this.options.findMemberCount?.(beatAt),
						beatAt,
					),
					crashNews: news,
					limitNews: limitNews.news,
					demand: this.options.demand?.buildSums(beatAt),
				}),
			);
		}
	}

	#recordAnswer(sentAt: number, heldMs: number): void {
		this.options.recordLinkEvent({
			kind: 'pingRepeated',
			peer: this.options.address,
			sentAt,
			heldMs,
		});
	}
}

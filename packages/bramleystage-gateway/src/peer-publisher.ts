/** Sends peer updates to the gateways that follow this one, at each change and at each ping. */
import type {Socket} from 'node:net';
import {encodeValueFrame} from 'bramleystage';
import type {CrashLedger} from './crash-ledger.js';
import type {LimitWatch} from './limit-watch.js';
import {
	type Ping,
	buildPeerUpdate,
	type GatewayState,
	type SentState,
} from './peer-update.js';

/** Time for which a ping may be under way, in milliseconds; a follower whose link is slower sends news that count as older. */
const maxPingDelayMs = 500;

type Follower = {
	lastSent: SentState;
	lastPing: {readonly beatAt: number; readonly arrivedAt: number};
	/** Revision of the crash evidence that was sent last. */
	crashRevision: number;
	/** Number of changes of servers' limits that were sent. */
	limitChangeCount: number;
};

export type PeerPublisherOptions = {
	readonly readState: () => GatewayState;
	/** Receives the address of a follower that has sent a ping. */
	readonly onPing?: (sender: string) => void;
	/** Receives the fence of the group's state that a follower knows. */
	readonly onGroupFence: (fence: number) => void;
	readonly crashes: Pick<CrashLedger, 'acceptNews' | 'buildNews'>;
	readonly limits: Pick<LimitWatch, 'acceptNews' | 'buildNews'>;
	readonly readClock: () => number;
};

export class PeerPublisher {
	readonly #followers = new Map<Socket, Follower>();

	constructor(private readonly options: PeerPublisherOptions) {}

	/** Records a follower's ping and sends it an update. */
	acceptPing(
		socket: Socket,
		{beatAt, sender, groupFence, crashNews, limitNews}: Ping,
	): void {
		const ping = {beatAt, arrivedAt: this.options.readClock()};
		if (crashNews) {
			this.options.crashes.acceptNews(crashNews, {
				writtenAfter: ping.arrivedAt - maxPingDelayMs,
				arrivedAt: ping.arrivedAt,
			});
		}

		if (sender !== undefined) {
			this.options.onPing?.(sender);
		}

		if (groupFence !== undefined) {
			this.options.onGroupFence(groupFence);
		}

		if (limitNews) {
			this.options.limits.acceptNews(limitNews);
		}

		const follower = this.#followers.get(socket);
		if (follower) {
			follower.lastPing = ping;
		} else {
			this.#followers.set(socket, {
				lastSent: {backends: new Map()},
				lastPing: ping,
				crashRevision: 0,
				limitChangeCount: 0,
			});
			socket.on('close', () => {
				this.#followers.delete(socket);
			});
		}

		this.#sendUpdate(socket);
	}

	/** Sends an update to all followers. */
	publish(): void {
		for (const socket of this.#followers.keys()) {
			this.#sendUpdate(socket);
		}
	}

	#sendUpdate(socket: Socket): void {
		const follower = this.#followers.get(socket);
		// A follower that reads slowly gets all changes at a later ping.
		if (!follower || socket.writableNeedDrain) {
			return;
		}

		const {readState, readClock, crashes, limits} = this.options;
		const state = readState();
		const now = readClock();
		const update = buildPeerUpdate(
			state,
			follower.lastSent,
			follower.lastPing,
			now,
		);
		const {news, revision} = crashes.buildNews(follower.crashRevision, now);
		follower.lastSent = state;
		follower.crashRevision = revision;
		const limitNews = limits.buildNews(follower.limitChangeCount);
		follower.limitChangeCount = limitNews.changeCount;
		socket.write(
			encodeValueFrame({
				...update,
				crashNews: news,
				limitNews: limitNews.news,
			}),
		);
	}
}

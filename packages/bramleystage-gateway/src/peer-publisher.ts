/** Sends peer updates to the gateways that follow this one, at each change and at each ping. */
import type {Socket} from 'node:net';
import {encodeValueFrame, type MemberCount} from 'bramleystage';
import type {CrashLedger} from './crash-ledger.js';
import type {DemandWatch} from './demand-watch.js';
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
	/** Its address; absent if it has sent none. */
	sender?: string;
	/** Whether its last ping had no address any more, as it stops. */
	isStopping: boolean;
};

export type PeerPublisherOptions = {
	readonly readState: () => GatewayState;
	/** Receives the address of a follower that has sent a ping. */
	readonly onPing?: (sender: string) => void;
	/** Receives the fence of the group's state that a follower knows. */
	readonly onGroupFence: (fence: number) => void;
	/** Receives the number of gateways that a follower is sure of or was told. */
	readonly onMemberCount?: (told: MemberCount) => void;
	readonly crashes: Pick<CrashLedger, 'acceptNews' | 'buildNews'>;
	readonly limits: Pick<LimitWatch, 'acceptNews' | 'buildNews'>;
	/** Takes the load of followers and builds the total that is sent; absent if none is measured. */
	readonly demand?: Pick<
		DemandWatch,
		'acceptSums' | 'buildTotal' | 'recordSenderEnd'
	>;
	readonly readClock: () => number;
};

export class PeerPublisher {
	readonly #followers = new Map<Socket, Follower>();

	constructor(private readonly options: PeerPublisherOptions) {}

	/** Records a follower's ping and sends it an update. */
	acceptPing(
		socket: Socket,
		{
			beatAt,
			sender,
			groupFence,
			memberCount,
			crashNews,
			limitNews,
			demand,
		}: Ping,
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

		if (memberCount) {
			const {count, ageMs} = memberCount;
			const countedAt = ping.arrivedAt - maxPingDelayMs - ageMs;
			this.options.onMemberCount?.({count, countedAt});
		}

		if (limitNews) {
			this.options.limits.acceptNews(limitNews);
		}

		const follower = this.#openFollower(socket, ping);
		follower.lastPing = ping;
		follower.isStopping = sender === undefined;
		follower.sender = sender ?? follower.sender;
		// Load counts by address, so that a follower that connects anew counts once.
		if (follower.sender !== undefined) {
			this.options.demand?.acceptSums(follower.sender, demand, ping.arrivedAt);
		}

		this.#sendUpdate(socket);
	}

	/** Sends an update to all followers. */
	publish(): void {
		for (const socket of this.#followers.keys()) {
			this.#sendUpdate(socket);
		}
	}

	#openFollower(socket: Socket, lastPing: Follower['lastPing']): Follower {
		const known = this.#followers.get(socket);
		if (known) {
			return known;
		}

		const follower: Follower = {
			lastSent: {backends: new Map()},
			lastPing,
			crashRevision: 0,
			limitChangeCount: 0,
			isStopping: false,
		};
		this.#followers.set(socket, follower);
		socket.on('close', () => {
			this.#followers.delete(socket);
			const {sender, isStopping} = follower;
			if (sender !== undefined) {
				const {demand, readClock} = this.options;
				demand?.recordSenderEnd(sender, isStopping, readClock());
			}
		});
		return follower;
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
				demand: this.options.demand?.buildTotal(now),
			}),
		);
	}
}

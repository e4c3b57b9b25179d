/**
 * Membership in the gateways' group at the platform's store, and the choice of
 * the order leader, the gateway that sends layer orders: the first by address
 * that answers and whose list of backend servers is not far behind. Two leaders
 * at a time do no harm, since every order carries the count of orders before it.
 * So the choice needs no lease and continues while the store is unreachable.
 */
import {waitFor} from 'bramleystage';
import {emptyQuery, sendPeerQuery} from './peer-exchange.js';
import type {OpenPeerSocket} from './peer-socket.js';
import type {KnownMembers} from './known-members.js';
import type {GroupState, PeerState} from './peer-update.js';
import type {StorePort} from './platform-port.js';
import {SlackShare, type SlackShareOptions} from './slack-share.js';

/** Renewals that may wait for a peer to read the members, so that the last one that counted is within the time after which the store drops a silent member. */
const maxWaitedRenewals = 1;
/** Renewals of the membership within the time after which the store drops a silent member. */
const renewalsPerMemberTtl = 3;
/** How often the order leader is determined, in milliseconds. */
const leaderCheckIntervalMs = 500;
/** How much older the order leader's list may be than this gateway's, in milliseconds. */
const maxLeaderLagMs = 2500;
/** Number of gateways that is assumed for the load until the group has been read. */
const assumedGroupSize = 6;
/** Bound of the group's generations within one era of the store. */
const generationsPerEra = 2 ** 24;

export type GatewayGroupOptions = SlackShareOptions & {
	readonly store: StorePort;
	/** `host:port` at which other gateways reach this one. */
	readonly self: string;
	readonly known: KnownMembers;
	/** Steady-clock time as of which this gateway's list is known, in milliseconds. */
	readonly readListReadAt: () => number;
	/** Returns the last known state of a followed peer; undefined if it is silent or not followed. */
	readonly findPeerState: (address: string) => PeerState | undefined;
	/** Finds the newest state of the group that a followed peer knows. */
	readonly findPeerGroup: () => GroupState | undefined;
	/** Whether another gateway reads the store and sends updates. */
	readonly isInformedByPeer: () => boolean;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
	readonly openSocket?: OpenPeerSocket;
};

export class GatewayGroup {
	/** This gateway's share of the slack of the retry budget. */
	readonly share: SlackShare;
	#era = 0;
	#generation = 0;
	/** Members as last read, here or by a peer. */
	#state: GroupState | undefined;
	/** Renewals in a row that found the group changed and left it to a peer to read the members. */
	#waitedRenewals = 0;
	#isRenewing = false;
	#isLeader = false;
	#isLeaving = false;

	constructor(private readonly options: GatewayGroupOptions) {
		this.share = new SlackShare(options);
		options.known.counted.subscribe(() => {
			this.#shareSlack();
		});
		void this.#renew();
		void this.#watchLeader();
	}

	/** Fencing token of this gateway's orders; it rises also when the store starts over from an older copy. */
	get fence(): number {
		return this.#era * generationsPerEra + this.#generation;
	}

	/** Members of the group, as of their last read; undefined before the first one. */
	get state(): GroupState | undefined {
		return this.#state;
	}

	/** Whether this gateway is the order leader. */
	get isLeader(): boolean {
		return this.#isLeader;
	}

	/** Number of known gateways before this one by address. */
	get rank(): number {
		const {self, known} = this.options;
		return known.listPeers().filter((address) => address < self).length;
	}

	/** Number of gateways that share the load. */
	get size(): number {
		return this.#state
			? this.options.known.confirmed.value.length + 1
			: assumedGroupSize;
	}

	/** Applies a newer state of the group that a followed peer knows. */
	applyPeerGroup(): void {
		const peerGroup = this.options.findPeerGroup();
		if (peerGroup) {
			this.#applyMembers(peerGroup);
		}
	}

	/**
	 * Renews the membership at once if another gateway knows of a later change of the
	 * group: the store lists a new member only after others have renewed.
	 */
	recordPeerFence(fence: number): void {
		if (fence > this.fence && !this.#isLeaving) {
			void this.#renewNow();
		}
	}

	/** Leaves the group, so that the others need not wait until the membership expires. */
	async leave(): Promise<void> {
		const {store, self, logger} = this.options;
		this.#isLeaving = true;
		const result = await store.leaveGroup(self);
		if (result.isErr()) {
			logger.warn('group.unleft', {detail: result.error.detail});
		}
	}

	async #renew(): Promise<void> {
		const {memberMs, lifeCycle} = this.options;
		while (!lifeCycle.isStopped && !this.#isLeaving) {
			// Renewals are sequential.
			// eslint-disable-next-line no-await-in-loop
			await this.#renewNow();
			// eslint-disable-next-line no-await-in-loop
			await waitFor(memberMs / renewalsPerMemberTtl);
		}
	}

	/** Renews the membership, unless a renewal is under way. */
	async #renewNow(): Promise<void> {
		if (this.#isRenewing) {
			return;
		}

		const {store, self, logger} = this.options;
		this.#isRenewing = true;
		const sentAt = this.options.readClock();
		const joined = await store.joinGroup(self, this.#generation);
		if (joined.isErr()) {
			logger.debug('group.unreachable', {detail: joined.error.detail});
			this.applyPeerGroup();
		} else {
			({generation: this.#generation, era: this.#era} = joined.value);
			await this.#handleRenewal(sentAt);
		}

		this.#isRenewing = false;
	}

	/** Records a successful renewal, which counts only together with the members of its generation. */
	async #handleRenewal(sentAt: number): Promise<void> {
		const {isInformedByPeer, store, logger} = this.options;
		const {fence} = this;
		this.applyPeerGroup();
		if (this.#state && this.#state.fence >= fence) {
			this.#waitedRenewals = 0;
			this.share.recordRenewal(sentAt);
			return;
		}

		if (isInformedByPeer() && this.#waitedRenewals < maxWaitedRenewals) {
			this.#waitedRenewals++;
			return;
		}

		const members = await store.listMembers();
		if (members.isErr()) {
			logger.warn('group.unread', {detail: members.error.detail});
			return;
		}

		this.#waitedRenewals = 0;
		this.share.recordRenewal(sentAt);
		this.#applyMembers({fence, members: members.value});
	}

	#applyMembers(state: GroupState): void {
		if (this.#state && this.#state.fence >= state.fence) {
			return;
		}

		const {known, readClock, logger} = this.options;
		this.#state = state;
		known.recordListed(state.members, readClock());
		this.#shareSlack();
		logger.info('group.changed', {
			fence: state.fence,
			members: state.members.join(','),
		});
	}

	/** Shares the slack among the known gateways, once the group has been read. */
	#shareSlack(): void {
		const {self, known, readClock} = this.options;
		if (this.#state) {
			this.share.recordMembers([...known.counted.value, self], readClock());
		}
	}

	async #watchLeader(): Promise<void> {
		const {lifeCycle, logger} = this.options;
		while (!lifeCycle.isStopped) {
			// eslint-disable-next-line no-await-in-loop
			const leader = await this.#findLeaderBefore();
			if ((leader === undefined) !== this.#isLeader) {
				this.#isLeader = leader === undefined;
				logger.info('orders.giver', {giver: leader ?? this.options.self});
			}

			// eslint-disable-next-line no-await-in-loop
			await waitFor(leaderCheckIntervalMs);
		}
	}

	/** Finds a live gateway before this one by address; undefined if this one is the leader. */
	async #findLeaderBefore(): Promise<string | undefined> {
		const {self, known, readListReadAt} = this.options;
		for (const address of known.listPeers().filter((peer) => peer < self)) {
			// Each is queried only if none before it answers.
			// eslint-disable-next-line no-await-in-loop
			const listReadAt = await this.#readPeerListReadAt(address);
			if (
				listReadAt !== undefined &&
				readListReadAt() - listReadAt < maxLeaderLagMs
			) {
				return address;
			}
		}

		return undefined;
	}

	/** Reads as of when a peer knows its list; undefined if it is stopping or does not answer. */
	async #readPeerListReadAt(address: string): Promise<number | undefined> {
		const {findPeerState, readClock, readLinkDelayMs, openSocket} =
			this.options;
		const state = findPeerState(address);
		if (state) {
			return state.backAt === undefined ? state.listReadAt : undefined;
		}

		const sentAt = readClock();
		const answer = await sendPeerQuery(address, emptyQuery, {
			linkDelayMs: readLinkDelayMs(),
			openSocket,
		});
		if (answer.isErr() || answer.value.isStopping) {
			return undefined;
		}

		const {listAgeMs} = answer.value;
		return listAgeMs === null ? Number.NEGATIVE_INFINITY : sentAt - listAgeMs;
	}
}

/**
 * The gateways' group at the platform's store: who else is there, and who gives
 * orders. A second giver for a moment does no harm, since every order names the
 * number of orders before it.
 */
import {LifeCycle, type Logger, waitFor} from 'bramleystage';
import type {GroupMember, Membership, StorePort} from './platform-port.js';

/** Renewals in the time for which the store keeps a silent member. */
const renewalsPerLife = 3;

/** Gateways that are assumed before the group was read. */
const assumedSize = 6;

export class Group {
	#membership: Membership = {generation: 0, isLeader: false};
	#members: readonly GroupMember[] = [];
	#confirmedAt = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly options: {
			readonly store: StorePort;
			readonly self: string;
			/** Time for which the store keeps a silent member, in milliseconds. */
			readonly memberMs: number;
			readonly lifeCycle: LifeCycle;
			readonly logger: Logger;
			readonly readClock: () => number;
		},
	) {
		void this.#renew();
	}

	get generation(): number {
		return this.#membership.generation;
	}

	/** Whether this process gives orders, by a word of the store that still counts. */
	get isLeader(): boolean {
		const {readClock, memberMs} = this.options;
		return (
			this.#membership.isLeader && readClock() - this.#confirmedAt < memberMs
		);
	}

	/** Addresses of the other gateways. */
	listPeers(): string[] {
		return this.#members
			.map(({address}) => address)
			.filter((address) => address !== this.options.self);
	}

	/** Gateways that share the load and the budgets. */
	get size(): number {
		return this.#members.length > 0 ? this.#members.length : assumedSize;
	}

	async #renew(): Promise<void> {
		const {store, self, memberMs, lifeCycle, logger, readClock} = this.options;
		while (!lifeCycle.isStopped) {
			const askedAt = readClock();
			// Renewals follow each other.
			// eslint-disable-next-line no-await-in-loop
			const joined = await store.joinGroup(self, this.generation);
			if (joined.isOk()) {
				const previous = this.#membership;
				this.#membership = joined.value;
				this.#confirmedAt = askedAt;
				if (previous.generation !== joined.value.generation) {
					logger.info('group.changed', {
						generation: joined.value.generation,
						leader: joined.value.isLeader,
					});
					// eslint-disable-next-line no-await-in-loop
					await this.#readMembers();
				}
			} else {
				logger.debug('group.unreachable', {detail: joined.error.detail});
			}

			// eslint-disable-next-line no-await-in-loop
			await waitFor(memberMs / renewalsPerLife);
		}
	}

	async #readMembers(): Promise<void> {
		const members = await this.options.store.listMembers();
		if (members.isOk()) {
			this.#members = members.value;
			return;
		}

		this.options.logger.warn('group.unread', {detail: members.error.detail});
	}
}

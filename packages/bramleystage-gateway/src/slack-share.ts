/**
 * This gateway's share of the slack of the retry budget, from what it learns of the others:
 * the known members, the numbers of gateways that others are sure of, and its own renewals.
 */
import {
	type BudgetShare,
	createBudgetShare,
	describeBudgetShare,
	findMemberCount,
	type LifeCycle,
	type Logger,
	type MemberCount,
	recordMemberCount,
	recordMembers,
	recordRenewal,
	type ShareBasis,
} from 'bramleystage';

/** How often the share is compared with the one that was logged last, in milliseconds. */
const logIntervalMs = 200;

export type SlackShareOptions = {
	/** Time after which the store drops a silent member, in milliseconds. */
	readonly memberMs: number;
	/** Time window of the retry budget, in milliseconds. */
	readonly windowMs: number;
	/** Whether the complete deployment starts for the first time. */
	readonly isFirstStart?: boolean;
	/** Whether the other gateways can't reach the store either. */
	readonly isStoreUnreachable: () => boolean;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

export class SlackShare {
	#share: BudgetShare;

	constructor(private readonly options: SlackShareOptions) {
		this.#share = createBudgetShare(options.readClock(), options.isFirstStart);
		this.#registerLog();
	}

	/** Describes what the share rests on. */
	describe(now: number): ShareBasis {
		const {memberMs, windowMs, isStoreUnreachable} = this.options;
		return describeBudgetShare(
			this.#share,
			{memberMs, windowMs, isStoreUnreachable: isStoreUnreachable()},
			now,
		);
	}

	/** Finds the largest number of gateways that this one is sure of or was told. */
	findMemberCount(now: number): MemberCount | undefined {
		return findMemberCount(this.#share, this.options.windowMs, now);
	}

	/** Records the number of gateways that another one is sure of. */
	recordMemberCount(told: MemberCount, now: number): void {
		const {windowMs} = this.options;
		this.#share = recordMemberCount(this.#share, told, windowMs, now);
	}

	/** Records all known gateways, this one included. */
	recordMembers(members: readonly string[], now: number): void {
		this.#share = recordMembers(this.#share, members, now);
	}

	/** Records a successful renewal of this gateway's membership. */
	recordRenewal(sentAt: number): void {
		this.#share = recordRenewal(this.#share, this.options, sentAt);
	}

	/** Logs what the share rests on whenever it changes. */
	#registerLog(): void {
		const {lifeCycle, logger, readClock} = this.options;
		let logged = '';
		lifeCycle.registerInterval(logIntervalMs, () => {
			const {share, gateways, lack} = this.describe(readClock());
			const text = `${gateways} ${lack}`;
			if (text !== logged) {
				logged = text;
				logger.info('group.share', {share, gateways, lack});
			}
		});
	}
}

/**
 * This entry's membership in the set of limit owners. It joins and confirms
 * epochs through the log. After the start and after each pause of the process,
 * the entry's own shares must not be used until the log has been read to its
 * end, since the membership may have changed in the meantime.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {HostId, Incarnation, LogOffset} from '../protocol/ids.js';
import type {LimitRecord, LimitSnapshot} from '../protocol/limits.js';
import {
	type ConfirmFacts,
	decideConfirm,
	listRemovedIncarnations,
} from './limit-confirm.js';
import {
	computeUsableLimitShare,
	createLimitMembershipState,
	createLimitSnapshot,
	foldLimitRecords,
	isSettled,
	type LogRecord,
	type Limit,
	type LimitMember,
	type LimitMembershipState,
	listOwners,
} from './limit-members.js';

/** A longer interval between ticks means that the process was paused. */
const maxTickGapMs = 1000;

/** Interval at which each member appends a snapshot of its folded state. */
const snapshotIntervalMs = 600_000;

/** Time after which an append that has not appeared in the log is repeated. */
const appendRetryMs = 2000;

/**
 * Describes this entry's use of permits. Costly, so it is called only when an
 * epoch may be confirmed.
 */
export type DescribePermitUse = () => Pick<
	ConfirmFacts,
	'heldPermitOwners' | 'isWithinShares'
>;

export type LimitMembershipOptions = {
	readonly self: {readonly host: HostId; readonly incarnation: Incarnation};
	readonly append: (record: LimitRecord | LimitSnapshot) => void;
};

export class LimitMembership {
	#state: LimitMembershipState = createLimitMembershipState();
	#epochReadAt: Milliseconds = 0;
	#lastTickAt: Milliseconds;
	#lastAppendAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#lastSnapshotAt: Milliseconds;
	#staleSince: Milliseconds | undefined;
	#isRetiring = false;

	constructor(
		private readonly options: LimitMembershipOptions,
		now: Milliseconds,
	) {
		this.#lastTickAt = now;
		this.#lastSnapshotAt = now;
		this.#staleSince = now;
	}

	get state(): LimitMembershipState {
		return this.#state;
	}

	get isStale(): boolean {
		return this.#staleSince !== undefined;
	}

	/** Whether the limits have owners, as far as the log has been read. */
	get isSettled(): boolean {
		return isSettled(this.#state);
	}

	get members(): readonly LimitMember[] {
		return [...this.#state.members.values()];
	}

	/**
	 * Folds records of the `limits` stream; `first` is the oldest offset that the
	 * log still retains.
	 */
	applyBatch(
		first: LogOffset,
		records: readonly LogRecord[],
		now: Milliseconds,
	): void {
		const previousEpoch = this.#state.epoch;
		this.#state = foldLimitRecords(this.#state, first, records);
		if (this.#state.epoch !== previousEpoch) {
			this.#epochReadAt = now;
		}
	}

	/** Records that the log was read to its end by a read sent at `sentAt`. */
	recordLogRead(sentAt: Milliseconds): void {
		if (this.#staleSince !== undefined && sentAt >= this.#staleSince) {
			this.#staleSince = undefined;
		}
	}

	/**
	 * Marks the state as stale if the process was paused. Must be called before
	 * each decision.
	 */
	detectPause(now: Milliseconds): void {
		if (now > this.#lastTickAt + maxTickGapMs) {
			this.#staleSince = now;
			this.#lastTickAt = now;
		}
	}

	/**
	 * Appends the record that is due: a join, the confirmation of the newest
	 * epoch, or a snapshot.
	 */
	tick(now: Milliseconds, describeUse: DescribePermitUse): void {
		this.#lastTickAt = now;
		if (
			this.#isRetiring ||
			this.isStale ||
			now < this.#lastAppendAt + appendRetryMs
		) {
			return;
		}

		const {self, append} = this.options;
		const member = this.#state.members.get(self.host);
		const {epoch} = this.#state;
		if (member?.incarnation !== self.incarnation) {
			this.#lastAppendAt = now;
			append({kind: 'join', format: 1, ...self});
		} else if (member.confirmed < epoch && this.#mayConfirm(describeUse, now)) {
			this.#lastAppendAt = now;
			append({kind: 'confirm', format: 1, ...self, epoch});
		} else if (now >= this.#lastSnapshotAt + snapshotIntervalMs) {
			this.#lastSnapshotAt = now;
			append(createLimitSnapshot(this.#state));
		}
	}

	/**
	 * Returns the share of a limit that this entry may use at the moment; 0 while
	 * it is stale or retiring.
	 */
	findUsableShare(limit: Limit): number {
		return this.isStale || this.#isRetiring
			? 0
			: computeUsableLimitShare(this.#state, this.options.self, limit);
	}

	/** Lists the other owners of a limit, highest rank first. */
	listOtherOwners(limit: Limit): LimitMember[] {
		const {members} = this.#state;
		return listOwners([...members.keys()], limit)
			.filter((host) => host !== this.options.self.host)
			.map((host) => members.get(host))
			.filter((member) => member !== undefined);
	}

	/**
	 * Appends a record that drops a member whose host the platform no longer
	 * lists.
	 */
	dropMember({host, incarnation}: LimitMember): void {
		this.options.append({kind: 'drop', format: 1, host, incarnation});
	}

	/** Ends this entry's ownership: it uses none of its own shares from now on. */
	retire(): void {
		this.#isRetiring = true;
		this.options.append({kind: 'retire', format: 1, ...this.options.self});
	}

	#mayConfirm(describeUse: DescribePermitUse, now: Milliseconds): boolean {
		const removed = listRemovedIncarnations(this.#state);
		const readAt = this.#epochReadAt;
		return decideConfirm({...describeUse(), readAt, removed}, now);
	}
}

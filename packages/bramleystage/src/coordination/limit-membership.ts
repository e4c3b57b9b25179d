/**
 * This entry's membership of the owners: joins and confirms through the log, and
 * knows when the own parts may not be used, which is so from the start and from
 * a pause of the process until the log has been read again.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {HostId, Incarnation, LogOffset} from '../protocol/ids.js';
import type {LimitRecord, LimitSnapshot} from '../protocol/limits.js';
import {
	type ConfirmFacts,
	decideConfirm,
	listRemoved,
} from './limit-confirm.js';
import {
	computeUsablePart,
	createLimitMembers,
	createLimitSnapshot,
	foldLimitRecords,
	isSettled,
	type LogRecord,
	type Limit,
	type LimitMember,
	type LimitMembers,
	listOwners,
} from './limit-members.js';

/** A longer gap between ticks means that the process was paused. */
const longestTickGapMs = 1000;

/** Interval at which each member appends what it has folded. */
const snapshotIntervalMs = 600_000;

/** An append that is not seen in the log after this long is made again. */
const appendRetryMs = 2000;

/** Describes this entry's use of permits; costly, so asked for only when it counts. */
export type DescribeUse = () => Pick<
	ConfirmFacts,
	'holdsFrom' | 'isWithinParts'
>;

export type LimitMembershipOptions = {
	readonly self: {readonly host: HostId; readonly incarnation: Incarnation};
	readonly append: (record: LimitRecord | LimitSnapshot) => void;
};

export class LimitMembership {
	#state: LimitMembers = createLimitMembers();
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

	get state(): LimitMembers {
		return this.#state;
	}

	get isStale(): boolean {
		return this.#staleSince !== undefined;
	}

	/** Whether somebody owns the limits, as far as the log has been read. */
	get isSettled(): boolean {
		return isSettled(this.#state);
	}

	get members(): readonly LimitMember[] {
		return [...this.#state.members.values()];
	}

	/** Folds records of the `limits` stream; `first` is the oldest still kept. */
	applyBatch(
		first: LogOffset,
		records: readonly LogRecord[],
		now: Milliseconds,
	): void {
		const before = this.#state.epoch;
		this.#state = foldLimitRecords(this.#state, first, records);
		if (this.#state.epoch !== before) {
			this.#epochReadAt = now;
		}
	}

	/** Records that the log was read to its end by a read sent at `sentAt`. */
	recordLogRead(sentAt: Milliseconds): void {
		if (this.#staleSince !== undefined && sentAt >= this.#staleSince) {
			this.#staleSince = undefined;
		}
	}

	/** Notices that the process was paused; to be called before anything is decided. */
	noticePause(now: Milliseconds): void {
		if (now > this.#lastTickAt + longestTickGapMs) {
			this.#staleSince = now;
			this.#lastTickAt = now;
		}
	}

	/** Appends what is due: the own join, or the newest epoch's confirmation. */
	tick(now: Milliseconds, describeUse: DescribeUse): void {
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

	/** The part of a limit that this entry may use now. */
	findPart(limit: Limit): number {
		return this.isStale || this.#isRetiring
			? 0
			: computeUsablePart(this.#state, this.options.self, limit);
	}

	/** Lists the other owners of a limit, the best first. */
	listOtherOwners(limit: Limit): LimitMember[] {
		const {members} = this.#state;
		return listOwners([...members.keys()], limit)
			.filter((host) => host !== this.options.self.host)
			.map((host) => members.get(host))
			.filter((member) => member !== undefined);
	}

	/** Proposes that a member whose host the platform no longer lists is dropped. */
	dropMember({host, incarnation}: LimitMember): void {
		this.options.append({kind: 'drop', format: 1, host, incarnation});
	}

	/** Gives up ownership: no own part is used from now on. */
	retire(): void {
		this.#isRetiring = true;
		this.options.append({kind: 'retire', format: 1, ...this.options.self});
	}

	#mayConfirm(describeUse: DescribeUse, now: Milliseconds): boolean {
		const removed = listRemoved(this.#state);
		const readAt = this.#epochReadAt;
		return decideConfirm({...describeUse(), readAt, removed}, now);
	}
}

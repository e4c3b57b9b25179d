/**
 * Which entries own a share of each limit, as a fold over the `limits` stream of
 * the log. Each change of membership starts a new epoch. A member confirms an
 * epoch in the log once its use is within the shares that the epoch assigns to
 * it. It may use at most its smallest share over a range of epochs: from the
 * newest one that all members have confirmed to the newest one that it has read.
 *
 * Why the shares in use never sum to more than the limit: for each member, take
 * the newest epoch that it has read, and let K be the oldest of these. No member
 * has read less than K, and an epoch that all members have confirmed is not
 * newer than K. So K is in every member's range, and each member uses at most
 * its share of epoch K. Those shares sum to the limit.
 */
import type {HostId, Incarnation, LogOffset} from '../protocol/ids.js';
import {
	type LimitKey,
	type LimitKind,
	type LimitRecord,
	limitRecordSchema,
	type LimitSnapshot,
	limitSnapshotSchema,
} from '../protocol/limits.js';
import {selectByRendezvous} from './rendezvous.js';

/** Maximum number of entries that own a share of one limit. */
export const maxLimitOwners = 4;

/**
 * Smallest share that an owner should have, by kind of limit; smaller limits
 * get fewer owners.
 */
const minShareByKind: Readonly<Record<LimitKind, number>> = {
	requests_per_second: 1,
	tokens_per_second: 4000,
	concurrent: 1,
};

export type LimitMember = {
	readonly host: HostId;
	readonly incarnation: Incarnation;
	/**
	 * Newest epoch that the member has confirmed; -1 before its first
	 * confirmation.
	 */
	readonly confirmed: number;
};

export type LimitMembershipState = {
	/** Offset of the next record to fold. */
	readonly next: LogOffset;
	/** Newest epoch; epoch 0 has no members. */
	readonly epoch: number;
	readonly members: ReadonlyMap<HostId, LimitMember>;
	/**
	 * Member lists by epoch, from the newest one that all members have confirmed
	 * to the newest.
	 */
	readonly lists: ReadonlyMap<number, MemberList>;
};

/**
 * Members of one epoch. Another incarnation on the same host is another member.
 */
export type MemberList = ReadonlyMap<HostId, Incarnation>;

/** One limit of one row of the table. */
export type Limit = {
	readonly key: LimitKey;
	readonly kind: LimitKind;
	/**
	 * Amount over all entries: per second for rates, at one time for concurrent
	 * work.
	 */
	readonly limit: number;
};

const noConfirmedEpoch = -1;

export const createLimitMembershipState = (): LimitMembershipState => ({
	next: 0 as LogOffset,
	epoch: 0,
	members: new Map(),
	lists: new Map([[0, new Map()]]),
});

/**
 * Folds one record of the `limits` stream. Every reader skips the same invalid
 * records.
 */
export function foldLimitRecord(
	state: LimitMembershipState,
	offset: LogOffset,
	value: unknown,
): LimitMembershipState {
	const next = (offset + 1) as LogOffset;
	const parsed = limitRecordSchema.safeParse(value);
	if (!parsed.success) {
		return {...state, next};
	}

	const members = applyRecord(state, parsed.data);
	if (!members) {
		return {...state, next};
	}

	if (parsed.data.kind === 'confirm') {
		return removeOldLists({...state, next, members});
	}

	const epoch = state.epoch + 1;
	const list = new Map(
		[...members.values()].map((member) => [member.host, member.incarnation]),
	);
	const lists = new Map(state.lists).set(epoch, list);
	return removeOldLists({next, epoch, members, lists});
}

/** A record read from the log, not validated yet. */
export type LogRecord = {readonly offset: LogOffset; readonly value: unknown};

/**
 * Folds a batch of records, where `first` is the oldest offset that the log still
 * retains. If records between the state and `first` have expired, the fold
 * restarts from a snapshot in the batch; without one, the state is unchanged.
 */
export function foldLimitRecords(
	state: LimitMembershipState,
	first: LogOffset,
	records: readonly LogRecord[],
): LimitMembershipState {
	const start = first > state.next ? findSnapshot(first, records) : state;
	let folded = start ?? state;
	for (const {offset, value} of start ? records : []) {
		if (offset >= folded.next) {
			folded = foldLimitRecord(folded, offset, value);
		}
	}

	return folded;
}

function findSnapshot(
	first: LogOffset,
	records: readonly LogRecord[],
): LimitMembershipState | undefined {
	for (const {value} of records) {
		const parsed = limitSnapshotSchema.safeParse(value);
		if (parsed.success && parsed.data.next >= first) {
			return restoreSnapshot(parsed.data);
		}
	}

	return undefined;
}

/** Builds the snapshot record from which a later reader can start. */
export function createLimitSnapshot(
	state: LimitMembershipState,
): LimitSnapshot {
	return {
		kind: 'snapshot',
		format: 1,
		next: state.next,
		epoch: state.epoch,
		members: [...state.members.values()],
		lists: [...state.lists].map(([epoch, list]) => ({
			epoch,
			members: [...list],
		})),
	};
}

function restoreSnapshot({
	next,
	epoch,
	members,
	lists,
}: LimitSnapshot): LimitMembershipState {
	return {
		next,
		epoch,
		members: new Map(members.map((member) => [member.host, member])),
		lists: new Map(lists.map((list) => [list.epoch, new Map(list.members)])),
	};
}

function applyRecord(
	{members}: LimitMembershipState,
	record: LimitRecord,
): Map<HostId, LimitMember> | undefined {
	const {host, incarnation} = record;
	const known = members.get(host);
	const isSame = known?.incarnation === incarnation;
	const changed = new Map(members);
	if (record.kind === 'join') {
		changed.set(host, {host, incarnation, confirmed: noConfirmedEpoch});
		return isSame ? undefined : changed;
	}

	if (!isSame) {
		return undefined;
	}

	if (record.kind === 'confirm') {
		const confirmed = Math.max(
			known.confirmed,
			record.epoch ?? noConfirmedEpoch,
		);
		return changed.set(host, {...known, confirmed});
	}

	changed.delete(host);
	return changed;
}

/** Returns the newest epoch that every member has confirmed. */
export function findConfirmedEpoch({
	members,
	epoch,
}: LimitMembershipState): number {
	const confirmed = [...members.values()].map((member) => member.confirmed);
	return Math.max(0, Math.min(epoch, ...confirmed));
}

/**
 * Tells whether an epoch with members has been confirmed by all of them, so
 * that the limits have owners.
 */
export const isSettled = ({epoch, lists}: LimitMembershipState): boolean =>
	epoch > 0 && !lists.has(0);

function removeOldLists(state: LimitMembershipState): LimitMembershipState {
	const confirmed = findConfirmedEpoch(state);
	const lists = new Map(
		[...state.lists].filter(([epoch]) => epoch >= confirmed),
	);
	return {...state, lists};
}

/** Lists the owners of a limit by rendezvous hashing, highest rank first. */
export function listOwners(
	members: readonly HostId[],
	{key, kind, limit}: Limit,
): HostId[] {
	const maxUsefulOwners = Math.floor(limit / minShareByKind[kind]);
	const count = Math.max(1, Math.min(maxLimitOwners, maxUsefulOwners));
	return selectByRendezvous(key, members, count);
}

/**
 * Computes a host's share of a limit in one epoch. Shares of token rates and of
 * limits below 1 may be fractional; all others are integers.
 */
export function computeLimitShare(
	owners: readonly HostId[],
	host: HostId,
	{kind, limit}: Limit,
): number {
	const rank = owners.indexOf(host);
	if (rank === -1) {
		return 0;
	}

	if (kind === 'tokens_per_second' || limit < 1) {
		return limit / owners.length;
	}

	const baseShare = Math.floor(limit / owners.length);
	const remainder = Math.floor(limit) - baseShare * owners.length;
	return baseShare + (rank < remainder ? 1 : 0);
}

/** Computes the share of a limit that a member may use at the moment. */
export function computeUsableLimitShare(
	state: LimitMembershipState,
	member: Pick<LimitMember, 'host' | 'incarnation'>,
	limit: Limit,
): number {
	const shares = [...state.lists.values()].map((list) =>
		computeShareInEpoch(list, member, limit),
	);
	return Math.min(...shares);
}

function computeShareInEpoch(
	list: MemberList,
	{host, incarnation}: Pick<LimitMember, 'host' | 'incarnation'>,
	limit: Limit,
): number {
	if (list.get(host) !== incarnation) {
		return 0;
	}

	const owners = listOwners([...list.keys()], limit);
	return computeLimitShare(owners, host, limit);
}

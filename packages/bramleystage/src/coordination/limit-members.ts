/**
 * Which entries own a part of each limit, as a fold over the `limits` stream of
 * the log. A change of membership starts an epoch. Each member confirms an
 * epoch in the log once it keeps to the parts that the epoch gives it, and may
 * use no more than the least part that any epoch gives it from the last one
 * that all have confirmed to the newest that it has read.
 *
 * Why the parts never sum to more than the limit: let K be the oldest epoch
 * that any member has read last. An epoch that all have confirmed is not newer
 * than K, and no member has read less than K, so K lies in every member's
 * range and each uses at most its part of epoch K. Those parts sum to the limit.
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

/** Most entries that own a part of one limit. */
export const maxOwners = 4;

/** Least part that is worth owning, by kind of limit. */
const leastPart: Readonly<Record<LimitKind, number>> = {
	requests_per_second: 1,
	tokens_per_second: 4000,
	concurrent: 1,
};

export type LimitMember = {
	readonly host: HostId;
	readonly incarnation: Incarnation;
	/** Newest epoch that the member has confirmed; none before its first. */
	readonly confirmed: number;
};

export type LimitMembers = {
	/** Offset of the next record to fold. */
	readonly next: LogOffset;
	/** Newest epoch; epoch 0 has no members. */
	readonly epoch: number;
	readonly members: ReadonlyMap<HostId, LimitMember>;
	/** Member lists by epoch, from the oldest that still counts to the newest. */
	readonly lists: ReadonlyMap<number, MemberList>;
};

/** Members of one epoch; a replaced incarnation is another member. */
export type MemberList = ReadonlyMap<HostId, Incarnation>;

/** One limit of one row. */
export type Limit = {
	readonly key: LimitKey;
	readonly kind: LimitKind;
	/** Per second, or at once; over all entries. */
	readonly limit: number;
};

const noEpoch = -1;

export const createLimitMembers = (): LimitMembers => ({
	next: 0 as LogOffset,
	epoch: 0,
	members: new Map(),
	lists: new Map([[0, new Map()]]),
});

/** Folds one record of the `limits` stream; anything else is skipped alike everywhere. */
export function foldLimitRecord(
	state: LimitMembers,
	offset: LogOffset,
	value: unknown,
): LimitMembers {
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

/** A record as it is read from the log. */
export type LogRecord = {readonly offset: LogOffset; readonly value: unknown};

/**
 * Folds records that were read together. When those in between have expired,
 * the fold goes on from a snapshot among them; without one it waits.
 */
export function foldLimitRecords(
	state: LimitMembers,
	first: LogOffset,
	records: readonly LogRecord[],
): LimitMembers {
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
): LimitMembers | undefined {
	for (const {value} of records) {
		const parsed = limitSnapshotSchema.safeParse(value);
		if (parsed.success && parsed.data.next >= first) {
			return restoreSnapshot(parsed.data);
		}
	}

	return undefined;
}

/** Builds the record that a later reader may start from. */
export function createLimitSnapshot(state: LimitMembers): LimitSnapshot {
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
}: LimitSnapshot): LimitMembers {
	return {
		next,
		epoch,
		members: new Map(members.map((member) => [member.host, member])),
		lists: new Map(lists.map((list) => [list.epoch, new Map(list.members)])),
	};
}

function applyRecord(
	{members}: LimitMembers,
	record: LimitRecord,
): Map<HostId, LimitMember> | undefined {
	const {host, incarnation} = record;
	const known = members.get(host);
	const isSame = known?.incarnation === incarnation;
	const changed = new Map(members);
	if (record.kind === 'join') {
		changed.set(host, {host, incarnation, confirmed: noEpoch});
		return isSame ? undefined : changed;
	}

	if (!isSame) {
		return undefined;
	}

	if (record.kind === 'confirm') {
		const confirmed = Math.max(known.confirmed, record.epoch ?? noEpoch);
		return changed.set(host, {...known, confirmed});
	}

	changed.delete(host);
	return changed;
}

/** Newest epoch that every member has confirmed. */
export function findConfirmedEpoch({members, epoch}: LimitMembers): number {
	const confirmed = [...members.values()].map((member) => member.confirmed);
	return Math.max(0, Math.min(epoch, ...confirmed));
}

/** Whether an epoch with members is in force, so that somebody owns the limits. */
export const isSettled = ({epoch, lists}: LimitMembers): boolean =>
	epoch > 0 && !lists.has(0);

function removeOldLists(state: LimitMembers): LimitMembers {
	const confirmed = findConfirmedEpoch(state);
	const lists = new Map(
		[...state.lists].filter(([epoch]) => epoch >= confirmed),
	);
	return {...state, lists};
}

/** Lists the entries that own a part of a limit, the best first. */
export function listOwners(
	members: readonly HostId[],
	{key, kind, limit}: Limit,
): HostId[] {
	const worthwhile = Math.floor(limit / leastPart[kind]);
	const count = Math.max(1, Math.min(maxOwners, worthwhile));
	return selectByRendezvous(key, members, count);
}

/** A host's part of a limit in one epoch. Counts are whole; tokens are not. */
export function computePart(
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

	const whole = Math.floor(limit / owners.length);
	const rest = Math.floor(limit) - whole * owners.length;
	return whole + (rank < rest ? 1 : 0);
}

/** The part of a limit that a member may use now. */
export function computeUsablePart(
	state: LimitMembers,
	member: Pick<LimitMember, 'host' | 'incarnation'>,
	limit: Limit,
): number {
	const parts = [...state.lists.values()].map((list) =>
		computePartIn(list, member, limit),
	);
	return Math.min(...parts);
}

function computePartIn(
	list: MemberList,
	{host, incarnation}: Pick<LimitMember, 'host' | 'incarnation'>,
	limit: Limit,
): number {
	if (list.get(host) !== incarnation) {
		return 0;
	}

	const owners = listOwners([...list.keys()], limit);
	return computePart(owners, host, limit);
}

/**
 * When a member may confirm an epoch: once its own use fits the parts that the
 * epoch gives it, what it used before has left every window, and nothing runs
 * any more under a permit of a member that the epoch removed.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {Incarnation} from '../protocol/ids.js';
import type {LimitMembers, MemberList} from './limit-members.js';
import {permitValidityMs} from './limit-ledger.js';

/** Time after which what was used under an older part has left every window. */
const settleMs = 1000 + 2 * permitValidityMs;

/** Time after which the requests of an incarnation that is gone have been cancelled. */
export const goneSettleMs = 10_000;

export type ConfirmFacts = {
	/** When this process read the newest epoch. */
	readonly readAt: Milliseconds;
	/** Incarnations that removals since the last confirmed epoch took out. */
	readonly removed: readonly Incarnation[];
	/** Incarnations whose concurrent permits this process still holds. */
	readonly holdsFrom: ReadonlySet<Incarnation>;
	/** True if every concurrent ledger holds no more than its usable part. */
	readonly isWithinParts: boolean;
};

/** Decides whether the newest epoch may be confirmed now. */
export function decideConfirm(facts: ConfirmFacts, now: Milliseconds): boolean {
	const waitMs = facts.removed.length > 0 ? goneSettleMs : settleMs;
	const holdsRemoved = facts.removed.some((incarnation) =>
		facts.holdsFrom.has(incarnation),
	);
	return now >= facts.readAt + waitMs && !holdsRemoved && facts.isWithinParts;
}

/** Lists the incarnations that left between the oldest list that counts and the newest. */
export function listRemoved({lists, epoch}: LimitMembers): Incarnation[] {
	const newest: MemberList = lists.get(epoch) ?? new Map();
	const kept = new Set(newest.values());
	const seen = new Set(
		[...lists.values()].flatMap((list) => [...list.values()]),
	);
	return [...seen].filter((incarnation) => !kept.has(incarnation));
}

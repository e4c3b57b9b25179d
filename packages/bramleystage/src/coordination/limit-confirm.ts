/**
 * When a member may confirm an epoch: once its use fits in the shares that the
 * epoch assigns to it, its use under earlier shares has left every rate window,
 * and none of its requests holds a permit of a member that the epoch removed.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {Incarnation} from '../protocol/ids.js';
import type {LimitMembershipState, MemberList} from './limit-members.js';
import {ratePermitValidityMs} from './limit-ledger.js';

/** Time after which use under an earlier share has left every rate window. */
const shareReductionWaitMs = 1000 + 2 * ratePermitValidityMs;

/**
 * Time within which the requests of an incarnation that is gone are cancelled.
 */
export const removedIncarnationWaitMs = 10_000;

export type ConfirmFacts = {
	/** When this process read the newest epoch. */
	readonly readAt: Milliseconds;
	/**
	 * Incarnations removed since the newest epoch that all members have
	 * confirmed.
	 */
	readonly removed: readonly Incarnation[];
	/**
	 * Incarnations that granted the concurrent permits that this process still
	 * holds.
	 */
	readonly heldPermitOwners: ReadonlySet<Incarnation>;
	/** Whether every concurrent ledger holds no more than its usable share. */
	readonly isWithinShares: boolean;
};

/** Decides whether the newest epoch may be confirmed now. */
export function decideConfirm(facts: ConfirmFacts, now: Milliseconds): boolean {
	const waitMs =
		facts.removed.length > 0 ? removedIncarnationWaitMs : shareReductionWaitMs;
	const holdsRemoved = facts.removed.some((incarnation) =>
		facts.heldPermitOwners.has(incarnation),
	);
	return now >= facts.readAt + waitMs && !holdsRemoved && facts.isWithinShares;
}

/**
 * Lists the incarnations in any member list of the state that are not in the
 * newest one.
 */
export function listRemovedIncarnations({
	lists,
	epoch,
}: LimitMembershipState): Incarnation[] {
	const newest: MemberList = lists.get(epoch) ?? new Map();
	const kept = new Set(newest.values());
	const seen = new Set(
		[...lists.values()].flatMap((list) => [...list.values()]),
	);
	return [...seen].filter((incarnation) => !kept.has(incarnation));
}

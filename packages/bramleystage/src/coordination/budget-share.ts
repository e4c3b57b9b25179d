/**
 * The part of a budget that one gateway of a fleet may spend without asking the
 * others. Each divides the budget by the members that it knows of, and what was
 * spent counts for a window, so two things have to be kept to:
 *
 * 1. A member that the group has dropped may run on, cut off from the store. It
 *    spends nothing once its renewals have failed for the time after which it
 *    is dropped, unless the store is away for all and drops nobody.
 * 2. Those who stay spend the part of a dropped member only when its own
 *    spending has left the window.
 * 3. A member that was dropped and is back spends nothing until the others know
 *    of it and what they spent of its part has left the window.
 */

type Count = {readonly members: number; readonly at: number};

export type BudgetShare = {
	/** Numbers of members, oldest first; each holds until the next. */
	readonly counts: readonly Count[];
	/** Present time at which the last renewal that succeeded was sent, in milliseconds. */
	readonly renewedAt: number;
	/** Present time from which on this gateway spends, in milliseconds. */
	readonly spendsFrom: number;
};

export type BudgetShareBounds = {
	/** Time for which the group keeps a silent member, in milliseconds. */
	readonly memberMs: number;
	/** Time for which spending counts, in milliseconds. */
	readonly windowMs: number;
	/** Whether the store is away for the other members too. */
	readonly isStoreAway: boolean;
};

/** Creates the share of a gateway that does not know the group yet. */
export const createBudgetShare = (
	assumedMembers: number,
	now: number,
): BudgetShare => ({
	counts: [{members: assumedMembers, at: now}],
	renewedAt: now,
	spendsFrom: now,
});

/** Records how many members the group has. */
export function recordMembers(
	share: BudgetShare,
	members: number,
	now: number,
): BudgetShare {
	return share.counts.at(-1)?.members === members
		? share
		: {...share, counts: [...share.counts, {members, at: now}]};
}

/** Records a renewal of the membership that succeeded. */
export function recordRenewal(
	share: BudgetShare,
	{memberMs, windowMs}: Pick<BudgetShareBounds, 'memberMs' | 'windowMs'>,
	sentAt: number,
): BudgetShare {
	const wasDropped = sentAt - share.renewedAt >= memberMs;
	return {
		...share,
		renewedAt: Math.max(share.renewedAt, sentAt),
		// One that is cut off just now learns of the return only when it is dropped.
		spendsFrom: wasDropped ? sentAt + memberMs + windowMs : share.spendsFrom,
	};
}

/** Drops counts that no window reaches any more. */
export function removeOldCounts(
	share: BudgetShare,
	windowMs: number,
	now: number,
): BudgetShare {
	const counts = share.counts.filter((_, index) => {
		const next = share.counts[index + 1];
		return next === undefined || next.at >= now - windowMs;
	});
	return counts.length === share.counts.length ? share : {...share, counts};
}

/** Computes the part of the budget that this gateway may spend, 0 to 1. */
export function computeBudgetShare(
	share: BudgetShare,
	bounds: BudgetShareBounds,
	now: number,
): number {
	const isDropped =
		now - share.renewedAt >= bounds.memberMs && !bounds.isStoreAway;
	if (isDropped || now < share.spendsFrom) {
		return 0;
	}

	const {counts} = removeOldCounts(share, bounds.windowMs, now);
	return 1 / Math.max(1, ...counts.map(({members}) => members));
}

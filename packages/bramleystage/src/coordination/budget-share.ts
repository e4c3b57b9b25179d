/**
 * The part of a budget that one gateway of a fleet may spend without asking the
 * others. Each divides the budget by the members that it knows of, and what was
 * spent counts for a window, so two things have to be kept to:
 *
 * 1. A member that the group has dropped may run on, cut off from the store. It
 *    spends nothing once its renewals have failed for the time after which it
 *    is dropped, unless the store is away for all and drops nobody.
 * 2. Those who stay spend the part of a dropped member only when its own
 *    spending has left the window and it is still not back.
 * 3. A member that is back after the others began to spend its part spends
 *    nothing until they know of it and what they spent has left the window.
 */

export type BudgetShare = {
	/** Members that are taken for granted before the group was read. */
	readonly assumedMembers: number;
	/** Members as listed last; nothing before the group was read. */
	readonly members?: ReadonlySet<string>;
	/** Present time at which each former member was dropped, in milliseconds. */
	readonly droppedAt: ReadonlyMap<string, number>;
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
	assumedMembers,
	droppedAt: new Map(),
	renewedAt: now,
	spendsFrom: now,
});

/** Records which members the group has. */
export function recordMembers(
	share: BudgetShare,
	members: readonly string[],
	now: number,
): BudgetShare {
	const listed = new Set(members);
	const droppedAt = new Map(
		[...share.droppedAt].filter(([member]) => !listed.has(member)),
	);
	for (const member of share.members ?? []) {
		if (!listed.has(member)) {
			droppedAt.set(member, now);
		}
	}

	return {...share, members: listed, droppedAt};
}

/** Records a renewal of the membership that succeeded. */
export function recordRenewal(
	share: BudgetShare,
	{memberMs, windowMs}: Pick<BudgetShareBounds, 'memberMs' | 'windowMs'>,
	sentAt: number,
): BudgetShare {
	const isPartSpent = sentAt - share.renewedAt >= memberMs + windowMs;
	return {
		...share,
		renewedAt: Math.max(share.renewedAt, sentAt),
		// One that is cut off just now learns of the return only when it is dropped.
		spendsFrom: isPartSpent ? sentAt + memberMs + windowMs : share.spendsFrom,
	};
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

	const {members, droppedAt, assumedMembers, renewedAt} = share;
	// What was learned of the group is only as new as the last renewal.
	const recent = [...droppedAt.values()].filter(
		(at) => at >= renewedAt - bounds.windowMs,
	);
	const count = members ? members.size + recent.length : assumedMembers;
	return 1 / Math.max(1, count);
}

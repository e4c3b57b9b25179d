/**
 * The share of a fleet-wide budget that one gateway may spend without asking the
 * others. Each gateway divides the budget by the number of group members that it
 * knows. Spending counts for a sliding window. To keep the fleet within the
 * budget in every window, three rules hold:
 *
 * 1. A member that the group has dropped may still be running, partitioned from
 *    the store. It spends nothing once its renewals have failed for the time
 *    after which the group drops it, unless the store is unreachable for all
 *    members and therefore drops none.
 * 2. The remaining members take over the share of a dropped member only when its
 *    spending has left the window and it has not come back.
 * 3. A member that comes back after the others may have taken over its share
 *    spends nothing until they know of it again and what they spent has left the
 *    window.
 * 4. A member that did not renew for the time after which the group drops a
 *    member may have missed that a dropped one came back and was dropped again,
 *    so it counts every former member as dropped just now.
 */

/** What one gateway knows of its group. All times are in the gateway's own clock. */
export type BudgetShare = {
	/** Number of members to assume before the group was first read. */
	readonly assumedMembers: number;
	/** Members of the group as last read; undefined before the first read. */
	readonly members?: ReadonlySet<string>;
	/** When each former member was found to be dropped, in milliseconds. */
	readonly droppedAt: ReadonlyMap<string, number>;
	/** When the last successful renewal was sent, in milliseconds. */
	readonly renewedAt: number;
	/** When this gateway may start to spend, in milliseconds. */
	readonly maySpendFrom: number;
};

export type BudgetShareBounds = {
	/** Time after which the group drops a member that doesn't renew, in milliseconds. */
	readonly memberMs: number;
	/** Length of the sliding window in which spending counts, in milliseconds. */
	readonly windowMs: number;
	/** Whether the store is unreachable for the other members too. */
	readonly isStoreUnreachable: boolean;
};

/** Creates the state of a gateway that has not read the group yet. */
export const createBudgetShare = (
	assumedMembers: number,
	now: number,
): BudgetShare => ({
	assumedMembers,
	droppedAt: new Map(),
	renewedAt: now,
	maySpendFrom: now,
});

/** Records the members of the group. */
export function recordMembers(
	share: BudgetShare,
	members: readonly string[],
	now: number,
): BudgetShare {
	const memberSet = new Set(members);
	const droppedAt = new Map(
		[...share.droppedAt].filter(([member]) => !memberSet.has(member)),
	);
	for (const member of share.members ?? []) {
		if (!memberSet.has(member)) {
			droppedAt.set(member, now);
		}
	}

	return {...share, members: memberSet, droppedAt};
}

/** Records a successful renewal of this gateway's membership. */
export function recordRenewal(
	share: BudgetShare,
	{memberMs, windowMs}: Pick<BudgetShareBounds, 'memberMs' | 'windowMs'>,
	sentAt: number,
): BudgetShare {
	const gapMs = sentAt - share.renewedAt;
	const isShareReclaimed = gapMs >= memberMs + windowMs;
	const droppedAt =
		gapMs >= memberMs
			? new Map([...share.droppedAt.keys()].map((member) => [member, sentAt]))
			: share.droppedAt;
	return {
		...share,
		droppedAt,
		renewedAt: Math.max(share.renewedAt, sentAt),
		// A member that is partitioned now may not learn of this return before it
		// is dropped itself, after `memberMs`.
		maySpendFrom: isShareReclaimed
			? sentAt + memberMs + windowMs
			: share.maySpendFrom,
	};
}

/** What a gateway lacks for a share of its own. */
export type ShareLack =
	| 'nothing'
	/** The members were never read. */
	| 'members'
	/** The group may have dropped this gateway. */
	| 'renewal'
	/** Others may still spend the share. */
	| 'return';

/** What a share rests on. */
export type ShareBasis = {
	/** Share of the budget that this gateway may spend, from 0 to 1. */
	readonly share: number;
	/** Number of gateways among which the budget is divided. */
	readonly gateways: number;
	readonly lack: ShareLack;
};

/** Describes the share of the budget that this gateway may spend. */
export function describeBudgetShare(
	share: BudgetShare,
	bounds: BudgetShareBounds,
	now: number,
): ShareBasis {
	const {members, droppedAt, assumedMembers, renewedAt, maySpendFrom} = share;
	// The known members are only as recent as the last renewal.
	const recentlyDropped = [...droppedAt.values()].filter(
		(at) => at >= renewedAt - bounds.windowMs,
	);
	const gateways = Math.max(
		1,
		members ? members.size + recentlyDropped.length : assumedMembers,
	);
	const isPresumedDropped =
		now - renewedAt >= bounds.memberMs && !bounds.isStoreUnreachable;
	if (isPresumedDropped || now < maySpendFrom) {
		return {share: 0, gateways, lack: isPresumedDropped ? 'renewal' : 'return'};
	}

	return {
		share: 1 / gateways,
		gateways,
		lack: members ? 'nothing' : 'members',
	};
}

/** Computes the share of the budget that this gateway may spend, from 0 to 1. */
export const computeBudgetShare = (
	share: BudgetShare,
	bounds: BudgetShareBounds,
	now: number,
): number => describeBudgetShare(share, bounds, now).share;

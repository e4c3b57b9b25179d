/**
 * The share of a fleet-wide budget that one gateway may spend without asking the
 * others. Each gateway divides the budget by the number of group members that it
 * knows. Spending counts for a sliding window. To keep the fleet within the
 * budget in every window, these rules hold:
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
 * 5. A started member hears of the others one by one. It spends nothing until a member
 *    that is sure of its count tells it one, after it had time to hear of this member and
 *    no lower than what this member knows itself; or, if all have started, until it has
 *    heard of no further member for a while. The first members of a group assume a few
 *    members until then.
 * 6. The largest count that a member was told of in the last window counts, so that two
 *    members that know different parts of the group don't divide by less than both.
 */

/** Time within which the members hear of a started one, in milliseconds. */
const introductionMs = 1500;
/** Time without a further member after which a member knows all others, in milliseconds. */
const quietMs = 3000;

/** Number of members that a member is sure of. */
export type MemberCount = {
	readonly count: number;
	/** When it was counted, in milliseconds. */
	readonly countedAt: number;
};

/** Fewest members that the first members of a group assume until their count is sure. */
const firstMembers = 6;

/** What one gateway knows of its group. All times are in the gateway's own clock. */
export type BudgetShare = {
	readonly startedAt: number;
	/** Whether no member has run before, so that nothing is spent yet. */
	readonly isFirstStart: boolean;
	/** When a member was last added, in milliseconds. */
	readonly grownAt: number;
	/** Whether the count of the known members was found to be sure. */
	readonly isSure: boolean;
	/** Counts that other members told, none of them older and smaller than another. */
	readonly told: readonly MemberCount[];
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
	now: number,
	isFirstStart = false,
): BudgetShare => ({
	startedAt: now,
	isFirstStart,
	grownAt: now,
	isSure: false,
	told: [],
	droppedAt: new Map(),
	renewedAt: now,
	maySpendFrom: now,
});

/** Whether the count of the known members is sure. */
const isCountSure = (
	{isSure, members, grownAt}: BudgetShare,
	now: number,
): boolean => isSure || (members !== undefined && now - grownAt >= quietMs);

/** Counts the members that may spend, as far as this one knows. */
function countMembers(
	{members, droppedAt, renewedAt}: BudgetShare,
	windowMs: number,
): number {
	// The known members are only as recent as the last renewal.
	const recentlyDropped = [...droppedAt.values()].filter(
		(at) => at >= renewedAt - windowMs,
	);
	return Math.max(1, (members?.size ?? 0) + recentlyDropped.length);
}

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

	const isGrown = members.some((member) => !share.members?.has(member));
	return {
		...share,
		members: memberSet,
		droppedAt,
		isSure: isCountSure(share, now),
		grownAt: isGrown ? now : share.grownAt,
	};
}

/** Records the count that another member told. */
export function recordMemberCount(
	share: BudgetShare,
	told: MemberCount,
	windowMs: number,
	now: number,
): BudgetShare {
	const isIntroduced = told.countedAt >= share.startedAt + introductionMs;
	return {
		...share,
		isSure:
			isCountSure(share, now) ||
			(isIntroduced && told.count >= countMembers(share, windowMs)),
		told: [
			...share.told.filter(
				({count, countedAt}) =>
					now - countedAt < windowMs &&
					(count > told.count || countedAt > told.countedAt),
			),
			told,
		],
	};
}

/** Finds the largest count that is sure here or was told in the last window; undefined if there is none. */
export function findMemberCount(
	share: BudgetShare,
	windowMs: number,
	now: number,
): MemberCount | undefined {
	const counts = share.told.filter(({countedAt}) => now - countedAt < windowMs);
	if (isCountSure(share, now)) {
		counts.push({count: countMembers(share, windowMs), countedAt: now});
	}

	return counts.toSorted(
		(a, b) => b.count - a.count || b.countedAt - a.countedAt,
	)[0];
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
	/** The count of the members is not sure. */
	| 'count'
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
	const {memberMs, windowMs, isStoreUnreachable} = bounds;
	const known = findMemberCount(share, windowMs, now)?.count;
	const lack = findShareLack(
		share,
		now - share.renewedAt >= memberMs && !isStoreUnreachable,
		now,
	);
	const isFirst =
		lack === 'count' && share.isFirstStart && share.members !== undefined;
	const gateways = isFirst
		? Math.max(firstMembers, countMembers(share, windowMs), known ?? 1)
		: (known ?? 1);
	const hasShare = isFirst || lack === 'nothing';
	return {share: hasShare ? 1 / gateways : 0, gateways, lack};
}

function findShareLack(
	share: BudgetShare,
	isPresumedDropped: boolean,
	now: number,
): ShareLack {
	if (isPresumedDropped) {
		return 'renewal';
	}

	if (now < share.maySpendFrom) {
		return 'return';
	}

	return isCountSure(share, now) ? 'nothing' : 'count';
}

/** Computes the share of the budget that this gateway may spend, from 0 to 1. */
export const computeBudgetShare = (
	share: BudgetShare,
	bounds: BudgetShareBounds,
	now: number,
): number => describeBudgetShare(share, bounds, now).share;

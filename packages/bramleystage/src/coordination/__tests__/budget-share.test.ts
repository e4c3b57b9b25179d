import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	type BudgetShare,
	computeBudgetShare,
	createBudgetShare,
	recordMembers,
	recordRenewal,
	removeOldCounts,
} from '../budget-share.js';

const bounds = {memberMs: 9000, windowMs: 10_000, isStoreAway: false};

const createMember = (members: number) =>
	recordMembers(createBudgetShare(members, 0), members, 0);

test('members that run on after the group dropped them spend nothing', () => {
	const share = recordRenewal(createMember(5), bounds, 4000);
	expect(computeBudgetShare(share, bounds, 12_999)).toBe(1 / 5);
	expect(computeBudgetShare(share, bounds, 13_000)).toBe(0);
	const away = {...bounds, isStoreAway: true};
	expect(computeBudgetShare(share, away, 60_000)).toBe(1 / 5);
});

test('a member that is back spends once the others have given up its part', () => {
	const dropped = createMember(5);
	const back = recordRenewal(dropped, bounds, 20_000);
	expect(computeBudgetShare(back, bounds, 20_000)).toBe(0);
	const renewed = recordRenewal(back, bounds, 28_000);
	expect(computeBudgetShare(renewed, bounds, 30_000)).toBe(0);
	const later = recordRenewal(renewed, bounds, 36_000);
	expect(computeBudgetShare(later, bounds, 39_000)).toBe(1 / 5);
});

test('the part of a dropped member is spent when its window has passed', () => {
	let share = recordMembers(createMember(5), 3, 20_000);
	share = recordRenewal({...share, renewedAt: 28_000}, bounds, 29_000);
	expect(computeBudgetShare(share, bounds, 29_999)).toBe(1 / 5);
	expect(computeBudgetShare(share, bounds, 30_001)).toBe(1 / 3);
	expect(removeOldCounts(share, bounds.windowMs, 30_001).counts).toHaveLength(
		1,
	);
});

test('a fleet keeps to its budget in every window while members are cut off', () => {
	const slack = 100;
	const tickMs = 500;
	const endMs = 60_000;
	const cut = fc.record({
		member: fc.nat({max: 4}),
		from: fc.integer({min: 0, max: 30_000}),
		forMs: fc.integer({min: 0, max: 25_000}),
	});
	fc.assert(
		fc.property(fc.array(cut, {maxLength: 4}), (cuts) => {
			const isCut = (member: number, now: number) =>
				cuts.some(
					(item) =>
						item.member === member &&
						now >= item.from &&
						now < item.from + item.forMs,
				);
			const shares: BudgetShare[] = Array.from({length: 5}, () =>
				createMember(5),
			);
			const joinedAt = shares.map(() => 0);
			const spent: Array<{member: number; at: number}> = [];
			for (let now = 0; now <= endMs; now += tickMs) {
				const members = joinedAt.filter(
					(at) => now - at < bounds.memberMs,
				).length;
				for (const [member, known] of shares.entries()) {
					let share = known;
					if (!isCut(member, now)) {
						joinedAt[member] = now;
						share = recordMembers(
							recordRenewal(share, bounds, now),
							members,
							now,
						);
					}

					shares[member] = share;
					const part = slack * computeBudgetShare(share, bounds, now);
					const used = spent.filter(
						(item) => item.member === member && item.at > now - bounds.windowMs,
					).length;
					for (let count = used; count + 1 <= part; count++) {
						spent.push({member, at: now});
					}
				}

				const inWindow = spent.filter(({at}) => at > now - bounds.windowMs);
				expect(inWindow.length).toBeLessThanOrEqual(slack);
			}
		}),
	);
});

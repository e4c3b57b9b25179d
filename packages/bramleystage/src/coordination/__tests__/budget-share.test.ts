import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	type BudgetShare,
	computeBudgetShare,
	createBudgetShare,
	describeBudgetShare,
	findMemberCount,
	recordMemberCount,
	recordMembers,
	recordRenewal,
} from '../budget-share.js';

const bounds = {memberMs: 9000, windowMs: 10_000, isStoreUnreachable: false};

const names = ['a', 'b', 'c', 'd', 'e'];

const createMember = () => recordMembers(createBudgetShare(0), names, 0);

test('a member that still runs after the group dropped it spends nothing', () => {
	const share = recordRenewal(createMember(), bounds, 4000);
	expect(computeBudgetShare(share, bounds, 12_999)).toBe(1 / 5);
	expect(computeBudgetShare(share, bounds, 13_000)).toBe(0);
	const unreachable = {...bounds, isStoreUnreachable: true};
	expect(computeBudgetShare(share, unreachable, 60_000)).toBe(1 / 5);
});

test('a member that is back before the others took over its share continues to spend', () => {
	const back = recordRenewal(createMember(), bounds, 18_999);
	expect(computeBudgetShare(back, bounds, 18_999)).toBe(1 / 5);
});

test('a member that is back later spends once the others have returned its share', () => {
	const back = recordRenewal(createMember(), bounds, 19_000);
	expect(computeBudgetShare(back, bounds, 19_000)).toBe(0);
	const renewed = recordRenewal(back, bounds, 36_000);
	expect(computeBudgetShare(renewed, bounds, 37_999)).toBe(0);
	expect(computeBudgetShare(renewed, bounds, 38_000)).toBe(1 / 5);
});

const {windowMs} = bounds;

test('a started member spends nothing until it has heard of no further one for a while', () => {
	const share = createBudgetShare(0);
	expect(computeBudgetShare(share, bounds, 8000)).toBe(0);
	const two = recordMembers(share, ['a', 'b'], 100);
	expect(computeBudgetShare(two, bounds, 3099)).toBe(0);
	const three = recordMembers(two, ['a', 'b', 'c'], 3000);
	expect(computeBudgetShare(three, bounds, 5999)).toBe(0);
	expect(computeBudgetShare(three, bounds, 6000)).toBe(1 / 3);
	// What is sure once stays so when further members come.
	const four = recordMembers(three, ['a', 'b', 'c', 'd'], 6000);
	expect(computeBudgetShare(four, bounds, 6000)).toBe(1 / 4);
});

test('the first members of a group assume a few until their count is sure', () => {
	const first = createBudgetShare(0, true);
	expect(computeBudgetShare(first, bounds, 100)).toBe(0);
	const two = recordMembers(first, ['a', 'b'], 100);
	expect(computeBudgetShare(two, bounds, 100)).toBe(1 / 6);
	const many = recordMembers(two, ['a', 'b', 'c', 'd', 'e', 'f', 'g'], 200);
	expect(computeBudgetShare(many, bounds, 200)).toBe(1 / 7);
	expect(computeBudgetShare(two, bounds, 3100)).toBe(1 / 2);
});

// Guards against a started member that divides by the few that it has heard of.
test('a started member divides by the count that a sure one tells', () => {
	const started = recordMembers(createBudgetShare(0), ['a', 'b'], 100);
	const early = recordMemberCount(
		started,
		{count: 5, countedAt: 1499},
		windowMs,
		1600,
	);
	expect(computeBudgetShare(early, bounds, 1600)).toBe(0);
	const introduced = recordMemberCount(
		started,
		{count: 5, countedAt: 1500},
		windowMs,
		1600,
	);
	expect(computeBudgetShare(introduced, bounds, 1600)).toBe(1 / 5);
	expect(computeBudgetShare(introduced, bounds, 11_499)).toBe(0);
	const renewed = recordRenewal(introduced, bounds, 11_499);
	expect(computeBudgetShare(renewed, bounds, 11_499)).toBe(1 / 5);
	expect(computeBudgetShare(renewed, bounds, 11_500)).toBe(1 / 2);
});

test('a count below what a started member knows itself is not sure', () => {
	const started = recordMembers(createBudgetShare(0), names, 1000);
	const told = {count: 4, countedAt: 2000};
	const share = recordMemberCount(started, told, windowMs, 2100);
	expect(computeBudgetShare(share, bounds, 2100)).toBe(0);
});

test('the largest count of a window counts, and is told on with its age', () => {
	const share = recordMemberCount(
		recordMemberCount(
			createMember(),
			{count: 7, countedAt: 4000},
			windowMs,
			4100,
		),
		{count: 6, countedAt: 5000},
		windowMs,
		5100,
	);
	expect(findMemberCount(share, windowMs, 6000)).toEqual({
		count: 7,
		countedAt: 4000,
	});
	expect(findMemberCount(share, windowMs, 14_000)?.count).toBe(6);
	expect(findMemberCount(share, windowMs, 15_000)).toEqual({
		count: 5,
		countedAt: 15_000,
	});
});

test('a share tells what it rests on and what it lacks', () => {
	expect(describeBudgetShare(createBudgetShare(0), bounds, 0)).toEqual({
		share: 0,
		gateways: 1,
		lack: 'count',
	});
	const share = createMember();
	expect(describeBudgetShare(share, bounds, 8999)).toEqual({
		share: 1 / 5,
		gateways: 5,
		lack: 'nothing',
	});
	expect(describeBudgetShare(share, bounds, 9000)).toMatchObject({
		share: 0,
		lack: 'renewal',
	});
	const back = recordRenewal(share, bounds, 19_000);
	expect(describeBudgetShare(back, bounds, 19_000)).toMatchObject({
		share: 0,
		lack: 'return',
	});
});

test('the share of a dropped member is taken over when its window has passed', () => {
	let share = recordMembers(createMember(), ['a', 'b', 'c'], 20_000);
	share = recordRenewal({...share, renewedAt: 28_000}, bounds, 29_000);
	expect(computeBudgetShare(share, bounds, 29_999)).toBe(1 / 5);
	// Only the next renewal shows that it is still gone.
	expect(computeBudgetShare(share, bounds, 30_001)).toBe(1 / 5);
	const renewed = recordRenewal(share, bounds, 30_001);
	expect(computeBudgetShare(renewed, bounds, 30_001)).toBe(1 / 3);
});

test('a member that left when another joined counts until its window has passed', () => {
	const four = recordMembers(createMember(), ['b', 'c', 'd', 'e'], 1000);
	const swapped = recordMembers(four, ['a', 'c', 'd', 'e'], 12_000);
	const share = recordRenewal(swapped, bounds, 12_000);
	expect(computeBudgetShare(share, bounds, 20_000)).toBe(1 / 5);
});

test('a member that missed the return of a dropped one counts it until its window has passed', () => {
	const four = recordMembers(createMember(), ['b', 'c', 'd', 'e'], 9000);
	const before = recordRenewal(four, bounds, 9000);
	// Member a was back from 9000 to 18000, while b was partitioned.
	let share = recordRenewal(before, bounds, 18_000);
	share = recordMembers(share, ['b', 'c', 'd', 'e'], 18_000);
	share = recordRenewal(share, bounds, 23_000);
	share = recordRenewal(share, bounds, 27_999);
	expect(computeBudgetShare(share, bounds, 27_999)).toBe(1 / 5);
	share = recordRenewal(share, bounds, 28_001);
	expect(computeBudgetShare(share, bounds, 28_001)).toBe(1 / 4);
});

test('a fleet stays within its budget in every window while members are partitioned', () => {
	const slack = 100;
	const tickMs = 500;
	const endMs = 60_000;
	const partition = fc.record({
		member: fc.nat({max: 4}),
		from: fc.integer({min: 0, max: 30_000}),
		forMs: fc.integer({min: 0, max: 25_000}),
	});
	fc.assert(
		fc.property(fc.array(partition, {maxLength: 4}), (partitions) => {
			const isPartitioned = (member: number, now: number) =>
				partitions.some(
					(item) =>
						item.member === member &&
						now >= item.from &&
						now < item.from + item.forMs,
				);
			const shares: BudgetShare[] = names.map(() => createMember());
			const joinedAt = shares.map(() => 0);
			const spent: Array<{member: number; at: number}> = [];
			for (let now = 0; now <= endMs; now += tickMs) {
				const members = names.filter(
					(_, member) => now - (joinedAt[member] ?? 0) < bounds.memberMs,
				);
				for (const [member, previous] of shares.entries()) {
					let share = previous;
					if (!isPartitioned(member, now)) {
						joinedAt[member] = now;
						share = recordRenewal(share, bounds, now);
						// A member that is back counts itself, even if the list lacks it so far.
						const own = names[member] ?? '';
						share = recordMembers(share, [...members, own], now);
					}

					shares[member] = share;
					const allowance = slack * computeBudgetShare(share, bounds, now);
					const used = spent.filter(
						(item) => item.member === member && item.at > now - bounds.windowMs,
					).length;
					for (let count = used; count + 1 <= allowance; count++) {
						spent.push({member, at: now});
					}
				}

				const inWindow = spent.filter(({at}) => at > now - bounds.windowMs);
				expect(inWindow.length).toBeLessThanOrEqual(slack);
			}
		}),
	);
});

import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {computeReturnMs, ReturnSchedule} from '../return-time.js';

test('a caller returns when there is room, and not before', () => {
	fc.assert(
		fc.property(
			fc.nat({max: 20_000}),
			fc.nat({max: 30_000}),
			fc.double({min: 0, max: 1, noNaN: true}),
			(roomInMs, remainingMs, random) => {
				const times = {roomInMs, remainingMs};
				const returnMs = computeReturnMs(times, () => random);
				expect(returnMs).toBeGreaterThanOrEqual(roomInMs);
				expect(returnMs).toBeLessThanOrEqual(Math.max(500, roomInMs + 1001));
			},
		),
	);
});

test('a caller is never asked to wait for longer than a third of its time for the sake of the crowd', () => {
	expect(computeReturnMs({remainingMs: 900}, () => 1)).toBe(300);
	expect(computeReturnMs({remainingMs: 300}, () => 1)).toBe(250);
});

test('load pattern: a crowd that is refused at once comes back spread out', () => {
	const callers = 600;
	const windowMs = 50;
	const returns = new Map<number, number>();
	for (let caller = 0; caller < callers; caller++) {
		const returnMs = computeReturnMs(
			{remainingMs: 20_000, roomInMs: 2000},
			() => caller / callers,
		);
		const window = Math.floor(returnMs / windowMs);
		returns.set(window, (returns.get(window) ?? 0) + 1);
	}

	// All 600 came in one window before.
	expect(Math.max(...returns.values())).toBeLessThanOrEqual(
		callers / (1000 / windowMs) + 1,
	);
});

// Load pattern: a crowd that was refused together comes back together.
test('refused callers return at the pace at which calls begin, while they would wait', () => {
	const returns = new ReturnSchedule(() => 0.5);
	const times = Array.from({length: 100}, () =>
		returns.take({intervalMs: 40, remainingMs: 9000}, 1000),
	);
	expect(times.slice(0, 3)).toEqual([250, 290, 330]);
	expect(Math.max(...times)).toBeLessThanOrEqual(3000);
	// The rest finds no place in the third of its time for which it would wait.
	expect(times.at(-1)).toBe(1625);
});

// Load pattern: callers of a lasting shortage return in shorter and shorter intervals as their time runs out, up to six times what can be served.
test('in a shortage callers take places at the pace of admission, the least admitted ones later', () => {
	const returns = new ReturnSchedule(() => 0.5);
	const times = Array.from({length: 500}, () =>
		returns.takePlace({intervalMs: 40, remainingMs: 20_000, share: 0.5}, 1000),
	);
	expect(times.slice(0, 3)).toEqual([500, 540, 580]);
	// Callers return after a third of their time at the latest.
	expect(times.filter((time, index) => time === 500 + 40 * index)).toHaveLength(
		155,
	);
	// No place is left in time, so it is told one and a half times its own.
	expect(times.at(-1)).toBe(30_000);
	const fresh = () => new ReturnSchedule(() => 0.5);
	const place = {intervalMs: 40, remainingMs: 20_000};
	expect(fresh().takePlace({...place, share: 0.05}, 1000)).toBe(3334);
	expect(fresh().takePlace({...place, share: 0}, 1000)).toBe(3334);
});

import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	computeUnreadMs,
	createLoopTicks,
	loopTickMs,
	recordLoopTick,
} from '../loop-delay.js';

test('a loop that ticks in time has no unread input', () => {
	let ticks = createLoopTicks(0);
	for (let now = loopTickMs; now < 500; now += loopTickMs) {
		ticks = recordLoopTick(ticks, now);
		expect(computeUnreadMs(ticks, now + loopTickMs - 1)).toBe(0);
	}
});

// Each turn of the loop reads what arrived before it began, works, and then ticks if a
// tick is due.
test('input never waited longer than computed and two ticks', () => {
	fc.assert(
		fc.property(
			fc.array(fc.integer({min: 1, max: 2000}), {minLength: 3, maxLength: 40}),
			(turnsMs) => {
				let ticks = createLoopTicks(0);
				let dueAt = loopTickMs;
				let polledAt = 0;
				let now = 0;
				for (const turnMs of turnsMs) {
					const readAt = now + turnMs;
					// What is read in this turn arrived after the turn before began.
					const waitedMs = readAt - polledAt;
					const unreadMs = computeUnreadMs(ticks, readAt);
					expect(unreadMs + 2 * loopTickMs).toBeGreaterThanOrEqual(waitedMs);
					polledAt = now;
					now = readAt;
					if (now >= dueAt) {
						ticks = recordLoopTick(ticks, now);
						dueAt = now + loopTickMs;
					}
				}
			},
		),
		{seed: 38},
	);
});

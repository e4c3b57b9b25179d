/**
 * How long input may have waited before the event loop read it. The loop ticks at an
 * interval and looks for input after each tick; a loop that is busy, or a process that
 * did not run, ticks late. What is read after a tick arrived after the tick before it.
 */
import type {Milliseconds} from '../protocol/decision.js';

/** Interval of the ticks, in milliseconds. */
export const loopTickMs = 20;

/** Steady-clock times of the last two ticks, in milliseconds. */
export type LoopTicks = {
	readonly previousAt: Milliseconds;
	readonly lastAt: Milliseconds;
};

export const createLoopTicks = (now: Milliseconds): LoopTicks => ({
	previousAt: now,
	lastAt: now,
});

export const recordLoopTick = (
	{lastAt}: LoopTicks,
	now: Milliseconds,
): LoopTicks => ({previousAt: lastAt, lastAt: now});

/** Computes for how long input that is read now may have waited, in milliseconds; 0 while the loop ticks in time. */
export const computeUnreadMs = (
	{previousAt}: LoopTicks,
	now: Milliseconds,
): Milliseconds => Math.max(0, now - previousAt - 2 * loopTickMs);

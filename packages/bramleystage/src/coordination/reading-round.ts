/**
 * How a process divides its time between reading what callers send and beginning the calls
 * that it has read. It reads until nothing new arrives, for a bounded time, and then begins
 * calls, for a bounded time. What running calls need is spent while it reads, so a round that
 * was long already leaves no time to begin more.
 */
import type {Milliseconds} from '../protocol/decision.js';

/** Time after which a process that still reads something new begins calls, in milliseconds. */
export const maxReadingMs = 40;
/** Longest time in which calls begin before the process reads on, in milliseconds. */
const maxBeginningMs = 20;
/** Length of a round at which no call begins, in milliseconds: events would reach callers late. */
const maxRoundMs = 60;
/** Time without a beginning after which one call begins all the same, in milliseconds. */
const maxPauseMs = 250;

export type ReadingRound = {
	/** When the process began to read, in milliseconds. */
	readonly startedAt: Milliseconds;
	/** When a call began last, in milliseconds. */
	readonly begunAt: Milliseconds;
};

/**
 * Computes for how long calls may begin now, in milliseconds: 0 for none, otherwise the first
 * one begins in any case; undefined if the process reads on.
 */
export function computeBeginningMs(
	{startedAt, begunAt}: ReadingRound,
	hasInput: boolean,
	now: Milliseconds,
): Milliseconds | undefined {
	const readingMs = now - startedAt;
	if (hasInput && readingMs < maxReadingMs) {
		return undefined;
	}

	const leastMs = now - begunAt >= maxPauseMs ? 1 : 0;
	return Math.max(leastMs, Math.min(maxBeginningMs, maxRoundMs - readingMs));
}

/**
 * What to do when an attempt at a backend server did not give a good answer:
 * another attempt, or the final word to the caller. A request that may not be
 * repeated is sent again only if it certainly has not run.
 */

export type AttemptOutcome =
	/** It has not run there and will not: the server said so or was never reached. */
	| 'notRun'
	/** It was sent and there is no whole answer. */
	| 'unknown'
	/** The server answered with a failure of its own. */
	| 'failed';

export type AttemptHistory = {
	/** Attempts so far, with the one that just ended. */
	readonly sent: number;
	/** Those of them that ran, or may have, at a server that still lives. */
	readonly ran: number;
	/** Whether any of them may have run. */
	readonly mayHaveRun: boolean;
};

export type AttemptBounds = {
	readonly isRepeatable: boolean;
	/** Most servers that the request may run at. */
	readonly maxAttempts: number;
	/** Time left until the final answer is due, in milliseconds. */
	readonly remainingMs: number;
};

export type NextStep = 'repeat' | 'refuse' | 'fail' | 'passOn';

/** Most attempts of one request, counting those that did not run. */
const maxSends = 5;
/** Least time that makes another attempt worthwhile, in milliseconds. */
const minAttemptMs = 30;

/** Decides what follows an attempt; `tryRepeat` spends the retry budget. */
export function decideNextStep(
	outcome: AttemptOutcome,
	history: AttemptHistory,
	bounds: AttemptBounds,
	tryRepeat: () => boolean,
): NextStep {
	const mayRepeat =
		history.sent < maxSends &&
		bounds.remainingMs >= minAttemptMs &&
		(outcome === 'notRun'
			? bounds.isRepeatable || !history.mayHaveRun
			: bounds.isRepeatable && history.ran < bounds.maxAttempts);
	if (mayRepeat && tryRepeat()) {
		return 'repeat';
	}

	if (outcome === 'failed') {
		return 'passOn';
	}

	return history.mayHaveRun ? 'fail' : 'refuse';
}

/**
 * Retry policy: decides what follows an attempt that yielded no good answer,
 * either another attempt or a final answer to the caller. A request that isn't
 * repeatable is sent again only if it certainly has not run.
 */

/** How a failed attempt ended. */
export type AttemptOutcome =
	/** It has not run and will not: the server said so or was never reached. */
	| 'notRun'
	/** It was sent, but no complete answer arrived. */
	| 'unknown'
	/** The server answered with an error. */
	| 'failed';

export type AttemptHistory = {
	/** Attempts so far, including the one that has ended. */
	readonly sent: number;
	/** Attempts that ran, or may have run, on a server that is still alive. */
	readonly ran: number;
	/** Whether any attempt may have run. */
	readonly mayHaveRun: boolean;
};

export type AttemptLimits = {
	/** Whether the request may run more than once. */
	readonly isRepeatable: boolean;
	/** Maximum number of servers on which the request may run. */
	readonly maxAttempts: number;
	/** Whether so many servers ended under the request that it may end each further one. */
	readonly isEndingServers: boolean;
	/** Time left until the request's deadline, in milliseconds. */
	readonly remainingMs: number;
	/** Whether the caller has received a part of the answer. */
	readonly isAnswerStarted: boolean;
};

/**
 * What follows a failed attempt: `retry` sends the request again, `refuse`
 * answers that it has not run, `fail` answers that it may have run, and `forward`
 * forwards the server's error to the caller. `wait` asks the retry budget again
 * later, as a started answer would otherwise end incomplete.
 */
export type AttemptDecision = 'retry' | 'refuse' | 'fail' | 'forward' | 'wait';

/**
 * Maximum number of attempts of a request, including those that did not run. A
 * started answer has no such limit: without another attempt it ends incomplete.
 */
const maxSentAttempts = 5;
/** First delay before another attempt over paths that refused one, in milliseconds; it doubles with each further one. */
const minResumeDelayMs = 50;
const maxResumeDelayMs = 400;
/** Minimum remaining time for another attempt, in milliseconds. */
const minAttemptMs = 30;

/**
 * Decides what follows a failed attempt. `trySpendRetry` takes one retry from
 * the retry budget; it is called only if every other condition for a retry is met.
 */
export function decideAfterAttempt(
	outcome: AttemptOutcome,
	history: AttemptHistory,
	bounds: AttemptLimits,
	trySpendRetry: () => boolean,
): AttemptDecision {
	const mayRepeat =
		(bounds.isAnswerStarted || history.sent < maxSentAttempts) &&
		bounds.remainingMs >= minAttemptMs &&
		!bounds.isEndingServers &&
		(outcome === 'notRun'
			? bounds.isRepeatable || !history.mayHaveRun
			: bounds.isRepeatable && history.ran < bounds.maxAttempts);
	if (mayRepeat && trySpendRetry()) {
		return 'retry';
	}

	if (mayRepeat && bounds.isAnswerStarted) {
		return 'wait';
	}

	if (outcome === 'failed') {
		return 'forward';
	}

	return history.mayHaveRun ? 'fail' : 'refuse';
}

/**
 * Computes the delay before another attempt over paths that refused one, in
 * milliseconds. All streams of a lost path go to the few that are left, and an
 * engine that refuses some of them takes them a little later.
 */
export const computeResumeDelayMs = (refusals: number): number =>
	refusals === 0
		? 0
		: Math.min(maxResumeDelayMs, minResumeDelayMs * 2 ** (refusals - 1));

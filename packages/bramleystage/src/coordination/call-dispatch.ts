/**
 * State machine of one plain service call at the entry. The call is assigned to
 * one agent at a time, bound to that agent's incarnation. A non-idempotent call
 * is sent to another agent only after the first reported `not-run`, which
 * implies a tombstone on the request id. While its outcome is uncertain it is
 * never sent elsewhere, and the caller gets the outcome `unknown`. An idempotent
 * call may be sent elsewhere earlier, but from then on it can't be reported as
 * `not-run`.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {CallAnswer, Failed} from '../protocol/messages.js';
import {
	createFailure,
	type Outcome,
	type ResultName,
} from '../protocol/result-codes.js';
import {
	createDeadlineFailure,
	decideCallerGone,
	decideDeadline,
	decideTimer,
	isSameTarget,
	rejectCall,
	startWait,
} from './call-dispatch-end.js';
import type {
	DispatchCommand,
	DispatchDecision,
	DispatchEvent,
	DispatchPolicy,
	DispatchState,
	DispatchTarget,
} from './call-dispatch-state.js';

export type {AllowRetry} from './call-dispatch-state.js';

/**
 * How long to wait for a lost session to be re-established before the outcome
 * is reported as unknown.
 */
export const reconnectWaitMs = 3000;

/**
 * Results that would be the same at any other agent, so that a retry is
 * useless.
 */
const finalResults: ReadonlySet<ResultName> = new Set([
	'keyReused',
	'keyInUse',
	'answerTooLarge',
]);

/**
 * Results that an agent returns before it claims the idempotency key. After any
 * other result the claim may persist for a while, and another agent could only
 * refuse the call.
 */
const resultsBeforeClaim: ReadonlySet<ResultName> = new Set([
	'stopping',
	'queueFull',
]);

/**
 * How long after the deadline an agent's `not-run` is trusted. The agent keeps
 * its record for longer than this, so it can't have forgotten that the call ran.
 */
export const tombstoneTrustMs = 30_000;

/**
 * Returns the next state of a call's dispatch and the commands that an event
 * causes.
 */
export function decideDispatch(
	state: DispatchState,
	event: DispatchEvent,
	now: Milliseconds,
	policy: DispatchPolicy,
): DispatchDecision {
	if (state.phase === 'done') {
		return [state, []];
	}

	switch (event.type) {
		case 'started': {
			return [state, [{type: 'choose', excluding: []}]];
		}

		case 'chosen': {
			return decideChosen(state, event.target, now);
		}

		case 'answered': {
			return decideAnswered(state, event.from, event.answer);
		}

		case 'failed': {
			return decideFailed(state, event, now, policy);
		}

		case 'cancelled': {
			return decideCancelled(state, event, now);
		}

		case 'sessionLost': {
			return decideSessionLost(state, event.target, now, policy);
		}

		case 'sessionOpened': {
			return decideSessionOpened(state, event.target, now, policy);
		}

		case 'timer': {
			return decideTimer(state, now);
		}

		case 'deadline': {
			return decideDeadline(state, now);
		}

		case 'callerDisconnected': {
			return decideCallerGone(state);
		}
	}
}

function decideChosen(
	state: DispatchState,
	target: DispatchTarget | undefined,
	now: Milliseconds,
): DispatchDecision {
	if (state.phase !== 'choosing') {
		return [state, []];
	}

	if (!target) {
		return rejectCall(
			state,
			createFailure(
				'noBackend',
				'No backend server is available for the service.',
				{retryAfterSeconds: 1},
			),
		);
	}

	return [
		{...state, phase: 'sent', target, attempts: state.attempts + 1},
		[{type: 'sendCall', target, deadlineMs: state.deadline - now}],
	];
}

/**
 * Accepts an answer from any agent that has had the call, and cancels the call
 * at the current agent.
 */
function decideAnswered(
	state: DispatchState,
	from: DispatchTarget,
	answer: CallAnswer,
): DispatchDecision {
	const commands: DispatchCommand[] = [
		{type: 'answerCaller', answer},
		{type: 'sendAcknowledge', target: from},
	];
	if (state.target && !isSameTarget(state.target, from)) {
		commands.push({type: 'sendCancel', target: state.target});
	}

	return [{...state, phase: 'done', target: from}, commands];
}

/**
 * Handles a failure report; reports of agents that no longer have the call are
 * ignored.
 */
function decideFailed(
	state: DispatchState,
	{from, message}: Extract<DispatchEvent, {type: 'failed'}>,
	now: Milliseconds,
	policy: DispatchPolicy,
): DispatchDecision {
	if (!isSameTarget(state.target, from)) {
		return [state, []];
	}

	const {result, detail} = message;
	const outcome = computeTrustedOutcome(state, message.outcome, now);
	const [next, commands] =
		isRetryable(state, message, now) && policy.allowRetry()
			? decideNextTarget(state, outcome, now, policy)
			: rejectCall(state, createFailure(result, detail, {outcome}));
	return [next, [{type: 'sendAcknowledge', target: from}, ...commands]];
}

function isRetryable(
	state: DispatchState,
	{result, outcome}: Failed,
	now: Milliseconds,
): boolean {
	const isSafe =
		outcome === 'not-run' || (outcome === 'unknown' && state.idempotent);
	return (
		isSafe &&
		state.phase === 'sent' &&
		now < state.deadline &&
		!finalResults.has(result) &&
		(!state.isClaimRequired || resultsBeforeClaim.has(result))
	);
}

/**
 * Returns the outcome that the agent reported, or `unknown` for a `not-run`
 * once its record may have expired.
 */
function computeTrustedOutcome(
	{deadline}: DispatchState,
	outcome: Outcome,
	now: Milliseconds,
): Outcome {
	return outcome === 'not-run' && now > deadline + tombstoneTrustMs
		? 'unknown'
		: outcome;
}

function decideCancelled(
	state: DispatchState,
	{from, outcome}: Extract<DispatchEvent, {type: 'cancelled'}>,
	now: Milliseconds,
): DispatchDecision {
	if (state.phase !== 'cancelling' || !isSameTarget(state.target, from)) {
		return [state, []];
	}

	const trusted = computeTrustedOutcome(state, outcome, now);
	const [next, commands] = rejectCall(state, createDeadlineFailure(trusted));
	return [next, [{type: 'sendAcknowledge', target: from}, ...commands]];
}

function decideSessionLost(
	state: DispatchState,
	target: DispatchTarget,
	now: Milliseconds,
	policy: DispatchPolicy,
): DispatchDecision {
	if (state.phase !== 'sent' || !isSameTarget(state.target, target)) {
		return [state, []];
	}

	if (state.idempotent && now < state.deadline && policy.allowRetry()) {
		return decideNextTarget(state, 'unknown', now, policy);
	}

	// The agent may still be running the call, so wait for a new session to it.
	return startWait(state, now, reconnectWaitMs);
}

function decideSessionOpened(
	state: DispatchState,
	target: DispatchTarget,
	now: Milliseconds,
	policy: DispatchPolicy,
): DispatchDecision {
	if (state.target?.host !== target.host) {
		return [state, []];
	}

	const isSame = isSameTarget(state.target, target);
	if (state.phase === 'cancelling') {
		return [state, isSame ? [{type: 'sendCancel', target}] : []];
	}

	if (isSame) {
		const deadlineMs = Math.max(0, state.deadline - now);
		return [
			{...state, waitUntil: undefined},
			[{type: 'sendCall', target, deadlineMs}],
		];
	}

	if (state.idempotent && now < state.deadline && policy.allowRetry()) {
		return decideNextTarget(state, 'unknown', now, policy);
	}

	const detail = 'The agent restarted while the call was assigned to it.';
	return rejectCall(state, createFailure('backendLost', detail));
}

/** Gives up on the current agent and chooses another one, after a backoff. */
function decideNextTarget(
	state: DispatchState,
	outcome: Outcome,
	now: Milliseconds,
	policy: DispatchPolicy,
): DispatchDecision {
	const tried = state.target
		? [...state.tried, state.target.host]
		: state.tried;
	const next: DispatchState = {
		...state,
		phase: 'choosing',
		target: undefined,
		tried,
		mayHaveRun: state.mayHaveRun || outcome !== 'not-run',
		waitUntil: undefined,
	};
	const backoffMs = policy.computeBackoff(state.attempts);
	return backoffMs > 0
		? startWait({...next, phase: 'backoff'}, now, backoffMs)
		: [next, [{type: 'choose', excluding: tried}]];
}

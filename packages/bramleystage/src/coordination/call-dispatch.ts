/**
 * The entry's side of one plain service call. The call is with one agent at a
 * time, bound to that agent's incarnation. A non-idempotent call goes to
 * another agent only when the first said `not-run` and so put a tombstone on
 * the id; while its outcome is uncertain it is never sent on, and the caller is
 * told `unknown`. An idempotent call may go on earlier, and from then on
 * `not-run` can no longer be said of it.
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
	Target,
} from './call-dispatch-state.js';

export type {AllowRetry} from './call-dispatch-state.js';

/** How long a lost session may take to come back before the outcome is told as unknown. */
export const reconnectWaitMs = 3000;

/** Results that another agent would give as well. */
const finalResults: ReadonlySet<ResultName> = new Set([
	'keyReused',
	'keyInUse',
	'answerTooLarge',
]);

/**
 * Results that an agent gives before it claims a key. After others the claim
 * may stand for a while, and another agent could only refuse the call.
 */
const unclaimedResults: ReadonlySet<ResultName> = new Set([
	'stopping',
	'queueFull',
]);

/**
 * How long after the deadline an agent's `not-run` is believed. The agent keeps
 * a record for longer than this, so it can't have forgotten that the call ran.
 */
export const tombstoneTrustMs = 30_000;

/** Decides what one event does to a call's dispatch. */
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

		case 'callerGone': {
			return decideCallerGone(state);
		}
	}
}

function decideChosen(
	state: DispatchState,
	target: Target | undefined,
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

/** An answer counts whoever gave it; the agent that has the call now is told to stop. */
function decideAnswered(
	state: DispatchState,
	from: Target,
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

/** Only the agent that has the call now may send it on: another's word is late. */
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
	const outcome = computeTrusted(state, message.outcome, now);
	const [next, commands] =
		isRepeatable(state, message, now) && policy.allowRetry()
			? decideElsewhere(state, outcome, now, policy)
			: rejectCall(state, createFailure(result, detail, {outcome}));
	return [next, [{type: 'sendAcknowledge', target: from}, ...commands]];
}

function isRepeatable(
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
		(!state.isClaimed || unclaimedResults.has(result))
	);
}

/** The agent's word on an outcome, unless its record may be gone. */
function computeTrusted(
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

	const trusted = computeTrusted(state, outcome, now);
	const [next, commands] = rejectCall(state, createDeadlineFailure(trusted));
	return [next, [{type: 'sendAcknowledge', target: from}, ...commands]];
}

function decideSessionLost(
	state: DispatchState,
	target: Target,
	now: Milliseconds,
	policy: DispatchPolicy,
): DispatchDecision {
	if (state.phase !== 'sent' || !isSameTarget(state.target, target)) {
		return [state, []];
	}

	if (state.idempotent && now < state.deadline && policy.allowRetry()) {
		return decideElsewhere(state, 'unknown', now, policy);
	}

	// The agent may still run it: wait for a new session to it.
	return startWait(state, now, reconnectWaitMs);
}

function decideSessionOpened(
	state: DispatchState,
	target: Target,
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
		return decideElsewhere(state, 'unknown', now, policy);
	}

	const detail = 'The agent was replaced while the call was with it.';
	return rejectCall(state, createFailure('backendLost', detail));
}

/** Leaves the present agent for another one. */
function decideElsewhere(
	state: DispatchState,
	outcome: Outcome,
	now: Milliseconds,
	policy: DispatchPolicy,
): DispatchDecision {
	const tried = state.target
		? [...state.tried, state.target.host]
		: state.tried;
	const left: DispatchState = {
		...state,
		phase: 'choosing',
		target: undefined,
		tried,
		mayHaveRun: state.mayHaveRun || outcome !== 'not-run',
		waitUntil: undefined,
	};
	const backoffMs = policy.computeBackoff(state.attempts);
	return backoffMs > 0
		? startWait({...left, phase: 'backoff'}, now, backoffMs)
		: [left, [{type: 'choose', excluding: tried}]];
}

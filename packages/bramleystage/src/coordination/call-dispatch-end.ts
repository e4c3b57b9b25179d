/** Waits, timeouts and the end of a dispatch. */
import type {Milliseconds} from '../protocol/decision.js';
import {
	createFailure,
	type Failure,
	type Outcome,
} from '../protocol/result-codes.js';
import type {
	DispatchDecision,
	DispatchState,
	DispatchTarget,
} from './call-dispatch-state.js';

/** How long to wait for the reply to a cancel after the caller's deadline. */
export const cancelWaitMs = 250;

/** At the deadline, cancels the call at its agent to learn the outcome. */
export function decideDeadline(
	state: DispatchState,
	now: Milliseconds,
): DispatchDecision {
	const {target} = state;
	if (!target) {
		return rejectCall(state, createDeadlineFailure('not-run'));
	}

	const [next, commands] = startWait(
		{...state, phase: 'cancelling'},
		now,
		cancelWaitMs,
	);
	return [next, [{type: 'sendCancel', target}, ...commands]];
}

/** Handles the end of a wait. */
export function decideTimer(
	state: DispatchState,
	now: Milliseconds,
): DispatchDecision {
	if (state.waitUntil === undefined || now < state.waitUntil) {
		return [state, []];
	}

	const {phase, tried} = state;
	if (phase === 'backoff') {
		return [
			{...state, phase: 'choosing', waitUntil: undefined},
			[{type: 'choose', excluding: tried}],
		];
	}

	if (phase === 'cancelling') {
		return rejectCall(state, createDeadlineFailure('unknown'));
	}

	const detail = 'The session to the agent was not re-established in time.';
	return rejectCall(state, createFailure('backendLost', detail));
}

/** Ends a call whose caller has disconnected. */
export function decideCallerGone(state: DispatchState): DispatchDecision {
	const [next, commands] = rejectCall(
		state,
		createFailure('cancelled', 'The caller closed the connection.'),
	);
	const {target} = state;
	return [
		next,
		target ? [...commands, {type: 'sendCancel', target}] : commands,
	];
}

/**
 * Ends the call with a failure; `not-run` is reported only if no agent may have
 * run the call.
 */
export function rejectCall(
	state: DispatchState,
	failure: Failure,
): DispatchDecision {
	const outcome =
		failure.outcome === 'not-run' && state.mayHaveRun
			? 'unknown'
			: failure.outcome;
	return [
		{...state, phase: 'done', waitUntil: undefined},
		[{type: 'failCaller', failure: {...failure, outcome}}],
	];
}

/** Starts a wait; a `timer` event signals its end. */
export function startWait(
	state: DispatchState,
	now: Milliseconds,
	durationMs: Milliseconds,
): DispatchDecision {
	return [
		{...state, waitUntil: now + durationMs},
		[{type: 'startTimer', durationMs}],
	];
}

/** Creates the failure of a call whose deadline has passed. */
export const createDeadlineFailure = (outcome: Outcome): Failure =>
	createFailure('deadlinePassed', 'The deadline passed.', {outcome});

/** Tells whether two targets are the same incarnation of an agent. */
export function isSameTarget(
	a: DispatchTarget | undefined,
	b: DispatchTarget,
): boolean {
	return a?.host === b.host && a.incarnation === b.incarnation;
}

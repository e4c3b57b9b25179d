/**
 * The entry's side of one plain service call. The call is sent to one agent at
 * a time, bound to that agent's incarnation. It goes to another agent only
 * when the first said `not-run` and so put a tombstone on the id, or when the
 * call is idempotent. A non-idempotent call whose outcome is uncertain is
 * answered as `unknown` and never repeated.
 */
import type {Decision, Milliseconds} from '../protocol/decision.js';
import type {HostId, Incarnation} from '../protocol/ids.js';
import type {CallAnswer, Failed} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';

/** An agent as a dispatch names it. */
export type Target = {
	readonly host: HostId;
	readonly incarnation: Incarnation;
};

export type DispatchState = {
	readonly idempotent: boolean;
	readonly deadline: Milliseconds;
	readonly phase: 'choosing' | 'sent' | 'done';
	readonly target: Target | undefined;
	readonly tried: readonly HostId[];
	readonly attempts: number;
};

export type DispatchEvent =
	| {readonly type: 'started'}
	/** The routing decision; no target when none is available. */
	| {readonly type: 'chosen'; readonly target: Target | undefined}
	| {readonly type: 'answered'; readonly answer: CallAnswer}
	| {readonly type: 'failed'; readonly message: Failed}
	/** The last session to the target ended. */
	| {readonly type: 'sessionLost'; readonly target: Target}
	/** A session to the target's host opened, perhaps to a new incarnation. */
	| {readonly type: 'sessionOpened'; readonly target: Target}
	| {readonly type: 'deadline'}
	| {readonly type: 'callerGone'};

export type DispatchCommand =
	| {readonly type: 'choose'; readonly excluding: readonly HostId[]}
	| {
			readonly type: 'sendCall';
			readonly target: Target;
			readonly deadlineMs: Milliseconds;
	  }
	| {readonly type: 'sendCancel'; readonly target: Target}
	| {readonly type: 'sendAcknowledge'; readonly target: Target}
	| {readonly type: 'answerCaller'; readonly answer: CallAnswer}
	| {readonly type: 'failCaller'; readonly failure: Failure};

export type DispatchDecision = Decision<DispatchState, DispatchCommand>;

/** Tells whether a retry may be spent now. */
export type AllowRetry = () => boolean;

export function createDispatch(
	idempotent: boolean,
	deadline: Milliseconds,
): DispatchState {
	return {
		idempotent,
		deadline,
		phase: 'choosing',
		target: undefined,
		tried: [],
		attempts: 0,
	};
}

/** Decides what one event does to a call's dispatch. */
export function decideDispatch(
	state: DispatchState,
	event: DispatchEvent,
	now: Milliseconds,
	allowRetry: AllowRetry,
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
			return decideAnswered(state, event.answer);
		}

		case 'failed': {
			return decideFailed(state, event.message, allowRetry);
		}

		case 'sessionLost': {
			return decideSessionLost(state, event.target, allowRetry);
		}

		case 'sessionOpened': {
			return decideSessionOpened(state, event.target, now);
		}

		case 'deadline': {
			return decideGiveUp(
				state,
				createFailure('deadlinePassed', 'The deadline passed.', {
					outcome: state.target ? 'unknown' : 'not-run',
				}),
			);
		}

		case 'callerGone': {
			return decideGiveUp(
				state,
				createFailure('cancelled', 'The caller closed the connection.'),
			);
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
		const failure = createFailure(
			'noBackend',
			'No backend server is available for the service.',
			{retryAfterSeconds: 1},
		);
		return [{...state, phase: 'done'}, [{type: 'failCaller', failure}]];
	}

	return [
		{...state, phase: 'sent', target, attempts: state.attempts + 1},
		[{type: 'sendCall', target, deadlineMs: state.deadline - now}],
	];
}

function decideAnswered(
	state: DispatchState,
	answer: CallAnswer,
): DispatchDecision {
	const {target} = state;
	if (!target) {
		return [state, []];
	}

	return [
		{...state, phase: 'done'},
		[
			{type: 'answerCaller', answer},
			{type: 'sendAcknowledge', target},
		],
	];
}

function decideFailed(
	state: DispatchState,
	message: Failed,
	allowRetry: AllowRetry,
): DispatchDecision {
	const {result, outcome, detail} = message;
	const mayRepeat = outcome === 'not-run' || state.idempotent;
	if (mayRepeat && allowRetry()) {
		return decideElsewhere(state);
	}

	const failure = createFailure(result, detail, {outcome});
	return [{...state, phase: 'done'}, [{type: 'failCaller', failure}]];
}

function decideSessionLost(
	state: DispatchState,
	target: Target,
	allowRetry: AllowRetry,
): DispatchDecision {
	if (!isSameTarget(state.target, target)) {
		return [state, []];
	}

	if (state.idempotent && allowRetry()) {
		return decideElsewhere(state);
	}

	// The agent may still run it: wait for a new session or the deadline.
	return [state, []];
}

function decideSessionOpened(
	state: DispatchState,
	target: Target,
	now: Milliseconds,
): DispatchDecision {
	if (state.phase !== 'sent' || state.target?.host !== target.host) {
		return [state, []];
	}

	if (state.target.incarnation === target.incarnation) {
		return [
			state,
			[{type: 'sendCall', target, deadlineMs: state.deadline - now}],
		];
	}

	const failure = createFailure(
		'backendLost',
		'The agent was replaced while the call was with it.',
	);
	return [{...state, phase: 'done'}, [{type: 'failCaller', failure}]];
}

function decideElsewhere(state: DispatchState): DispatchDecision {
	const tried = state.target
		? [...state.tried, state.target.host]
		: state.tried;
	return [
		{...state, phase: 'choosing', target: undefined, tried},
		[{type: 'choose', excluding: tried}],
	];
}

function decideGiveUp(
	state: DispatchState,
	failure: Failure,
): DispatchDecision {
	const commands: DispatchCommand[] = [{type: 'failCaller', failure}];
	if (state.target) {
		commands.push({type: 'sendCancel', target: state.target});
	}

	return [{...state, phase: 'done'}, commands];
}

function isSameTarget(a: Target | undefined, b: Target): boolean {
	return a?.host === b.host && a.incarnation === b.incarnation;
}

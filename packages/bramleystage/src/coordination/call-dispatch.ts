/**
 * The entry's side of one plain service call. The call is with one agent at a
 * time, bound to that agent's incarnation. A non-idempotent call goes to
 * another agent only when the first said `not-run` and so put a tombstone on
 * the id; while its outcome is uncertain it is never sent on, and the caller is
 * told `unknown`. An idempotent call may go on earlier, and from then on
 * `not-run` can no longer be said of it.
 */
import type {Decision, Milliseconds} from '../protocol/decision.js';
import type {HostId, Incarnation} from '../protocol/ids.js';
import type {CallAnswer, Failed, Message} from '../protocol/messages.js';
import {
	createFailure,
	type Failure,
	type Outcome,
	type ResultName,
} from '../protocol/result-codes.js';

/** An agent as a dispatch names it. */
export type Target = {
	readonly host: HostId;
	readonly incarnation: Incarnation;
};

export type DispatchState = {
	readonly idempotent: boolean;
	readonly deadline: Milliseconds;
	/** `cancelling`: the deadline passed and the agent was asked what became of the call. */
	readonly phase: 'choosing' | 'backoff' | 'sent' | 'cancelling' | 'done';
	readonly target: Target | undefined;
	readonly tried: readonly HostId[];
	readonly attempts: number;
	/** An agent that was left without its word on the outcome may have run the call. */
	readonly mayHaveRun: boolean;
	/** When the present wait ends: a backoff, a lost session or a cancel. */
	readonly waitUntil: Milliseconds | undefined;
};

export type DispatchEvent =
	| {readonly type: 'started'}
	/** The routing decision; no target when none is available. */
	| {readonly type: 'chosen'; readonly target: Target | undefined}
	| {
			readonly type: 'answered';
			readonly from: Target;
			readonly answer: CallAnswer;
	  }
	| {readonly type: 'failed'; readonly from: Target; readonly message: Failed}
	| {
			readonly type: 'cancelled';
			readonly from: Target;
			readonly outcome: Outcome;
	  }
	/** The last session to the target ended. */
	| {readonly type: 'sessionLost'; readonly target: Target}
	/** A session to the target's host opened, perhaps to a new incarnation. */
	| {readonly type: 'sessionOpened'; readonly target: Target}
	/** The time of a `startTimer` command is over. */
	| {readonly type: 'timer'}
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
	/** Replaces the call's earlier timer. */
	| {readonly type: 'startTimer'; readonly durationMs: Milliseconds}
	| {readonly type: 'answerCaller'; readonly answer: CallAnswer}
	| {readonly type: 'failCaller'; readonly failure: Failure};

export type DispatchDecision = Decision<DispatchState, DispatchCommand>;

/** Tells whether a retry may be spent now. */
export type AllowRetry = () => boolean;

/** How a dispatch retries. */
export type DispatchPolicy = {
	readonly allowRetry: AllowRetry;
	/** Wait before the next attempt, by the number of attempts made. */
	readonly computeBackoff: (attempts: number) => Milliseconds;
};

/** How long a lost session may take to come back before the outcome is told as unknown. */
export const reconnectWaitMs = 3000;

/** How long the answer to a cancel is waited for, past the caller's deadline. */
export const cancelWaitMs = 250;

/**
 * How long after the deadline an agent's `not-run` is believed. The agent keeps
 * a record for longer than this, so it can't have forgotten that the call ran.
 */
export const tombstoneTrustMs = 30_000;

/** Results that another agent would give as well. */
const finalResults: ReadonlySet<ResultName> = new Set([
	'keyReused',
	'keyInUse',
	'answerTooLarge',
]);

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
		mayHaveRun: false,
		waitUntil: undefined,
	};
}

/** Gives the dispatch event that a message from an agent is, if it is one. */
export function toDispatchEvent(
	message: Message,
	from: Target,
): DispatchEvent | undefined {
	switch (message.type) {
		case 'callAnswer': {
			return {type: 'answered', from, answer: message};
		}

		case 'failed': {
			return {type: 'failed', from, message};
		}

		case 'cancelled': {
			return {type: 'cancelled', from, outcome: message.outcome};
		}

		default: {
			return undefined;
		}
	}
}

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
		!finalResults.has(result)
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

function decideTimer(
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

	const detail = 'The session to the agent did not come back.';
	return rejectCall(state, createFailure('backendLost', detail));
}

function decideDeadline(
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

function decideCallerGone(state: DispatchState): DispatchDecision {
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

function startWait(
	state: DispatchState,
	now: Milliseconds,
	durationMs: Milliseconds,
): DispatchDecision {
	return [
		{...state, waitUntil: now + durationMs},
		[{type: 'startTimer', durationMs}],
	];
}

/** Ends the call; `not-run` is said only if no agent may have run it. */
function rejectCall(state: DispatchState, failure: Failure): DispatchDecision {
	const outcome =
		failure.outcome === 'not-run' && state.mayHaveRun
			? 'unknown'
			: failure.outcome;
	return [
		{...state, phase: 'done', waitUntil: undefined},
		[{type: 'failCaller', failure: {...failure, outcome}}],
	];
}

const createDeadlineFailure = (outcome: Outcome): Failure =>
	createFailure('deadlinePassed', 'The deadline passed.', {outcome});

function isSameTarget(a: Target | undefined, b: Target): boolean {
	return a?.host === b.host && a.incarnation === b.incarnation;
}

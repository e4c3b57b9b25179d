/**
 * State, events and commands of the entry's dispatch of one plain service call.
 */
import type {Decision, Milliseconds} from '../protocol/decision.js';
import type {HostId, Incarnation} from '../protocol/ids.js';
import type {CallAnswer, Failed, Message} from '../protocol/messages.js';
import type {Failure, Outcome} from '../protocol/result-codes.js';

/** An agent as a dispatch names it. */
export type Target = {
	readonly host: HostId;
	readonly incarnation: Incarnation;
};

export type DispatchState = {
	readonly idempotent: boolean;
	/** The agent claims the call's idempotency key before it runs. */
	readonly isClaimed: boolean;
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

export function createDispatch(
	idempotent: boolean,
	deadline: Milliseconds,
	isClaimed = false,
): DispatchState {
	return {
		idempotent,
		isClaimed,
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

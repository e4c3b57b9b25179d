/**
 * State, events and commands of the entry's dispatch of one plain service call.
 */
import type {Decision, Milliseconds} from '../protocol/decision.js';
import type {HostId, Incarnation} from '../protocol/ids.js';
import type {CallAnswer, Failed, Message} from '../protocol/messages.js';
import type {Failure, Outcome} from '../protocol/result-codes.js';

/** Identifies an agent process: its host and incarnation. */
export type DispatchTarget = {
	readonly host: HostId;
	readonly incarnation: Incarnation;
};

export type DispatchState = {
	readonly idempotent: boolean;
	/** The agent must claim the call's idempotency key before it runs the call. */
	readonly isClaimRequired: boolean;
	readonly deadline: Milliseconds;
	/**
	 * `cancelling`: the deadline has passed and the agent was asked for the
	 * outcome of the call.
	 */
	readonly phase: 'choosing' | 'backoff' | 'sent' | 'cancelling' | 'done';
	readonly target: DispatchTarget | undefined;
	readonly tried: readonly HostId[];
	readonly attempts: number;
	/**
	 * An earlier agent may have run the call: it was abandoned without a reported
	 * `not-run`.
	 */
	readonly mayHaveRun: boolean;
	/**
	 * End of the current wait: for a backoff, a lost session or the reply to a
	 * cancel.
	 */
	readonly waitUntil: Milliseconds | undefined;
};

export type DispatchEvent =
	| {readonly type: 'started'}
	/** Routing result; `target` is undefined if no agent is available. */
	| {readonly type: 'chosen'; readonly target: DispatchTarget | undefined}
	| {
			readonly type: 'answered';
			readonly from: DispatchTarget;
			readonly answer: CallAnswer;
	  }
	| {
			readonly type: 'failed';
			readonly from: DispatchTarget;
			readonly message: Failed;
	  }
	| {
			readonly type: 'cancelled';
			readonly from: DispatchTarget;
			readonly outcome: Outcome;
	  }
	/** The last session to the target ended. */
	| {readonly type: 'sessionLost'; readonly target: DispatchTarget}
	/** A session to the target's host is open, possibly to a new incarnation. */
	| {readonly type: 'sessionOpened'; readonly target: DispatchTarget}
	/** The timer of a `startTimer` command has expired. */
	| {readonly type: 'timer'}
	| {readonly type: 'deadline'}
	| {readonly type: 'callerDisconnected'};

export type DispatchCommand =
	| {readonly type: 'choose'; readonly excluding: readonly HostId[]}
	| {
			readonly type: 'sendCall';
			readonly target: DispatchTarget;
			readonly deadlineMs: Milliseconds;
	  }
	| {readonly type: 'sendCancel'; readonly target: DispatchTarget}
	| {readonly type: 'sendAcknowledge'; readonly target: DispatchTarget}
	/** Replaces the call's earlier timer. */
	| {readonly type: 'startTimer'; readonly durationMs: Milliseconds}
	| {readonly type: 'answerCaller'; readonly answer: CallAnswer}
	| {readonly type: 'failCaller'; readonly failure: Failure};

export type DispatchDecision = Decision<DispatchState, DispatchCommand>;

/** Returns whether the retry budget permits a retry now, and spends it. */
export type AllowRetry = () => boolean;

/** Retry policy of a dispatch. */
export type DispatchPolicy = {
	readonly allowRetry: AllowRetry;
	/**
	 * Returns the backoff before the next attempt, given the number of attempts
	 * made.
	 */
	readonly computeBackoff: (attempts: number) => Milliseconds;
};

export function createDispatch(
	idempotent: boolean,
	deadline: Milliseconds,
	isClaimRequired = false,
): DispatchState {
	return {
		idempotent,
		isClaimRequired,
		deadline,
		phase: 'choosing',
		target: undefined,
		tried: [],
		attempts: 0,
		mayHaveRun: false,
		waitUntil: undefined,
	};
}

/**
 * Converts an agent's message to a dispatch event; undefined for messages of
 * other kinds.
 */
export function toDispatchEvent(
	message: Message,
	from: DispatchTarget,
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

/**
 * Records, events and commands of the agent's ledger of plain service calls,
 * and the messages that report the status of a call to an entry.
 */
import type {Decision, Milliseconds} from '../protocol/decision.js';
import {toAttempt, type Incarnation, type RequestId} from '../protocol/ids.js';
import type {Call, CallAnswer, Message} from '../protocol/messages.js';
import {
	createFailure,
	type Failure,
	type Outcome,
} from '../protocol/result-codes.js';
import type {ClaimEnd} from './claims.js';

/**
 * The agent's record of one call. Times are readings of the agent's own clock.
 */
export type CallRecord =
	/** Waiting for the claim on its idempotency key. */
	| {
			readonly phase: 'claiming';
			readonly call: Call;
			readonly deadline: Milliseconds;
	  }
	| {
			readonly phase: 'queued';
			readonly call: Call;
			readonly deadline: Milliseconds;
	  }
	| {
			readonly phase: 'running';
			readonly call: Call;
			readonly deadline: Milliseconds;
			readonly cancelled: boolean;
	  }
	| {
			readonly phase: 'answered';
			readonly answer: CallAnswer;
			readonly forgetAt: Milliseconds;
	  }
	/**
	 * Failed or cancelled; also a tombstone: the request id is never started
	 * again.
	 */
	| {
			readonly phase: 'failed';
			readonly failure: Failure;
			readonly forgetAt: Milliseconds;
	  }
	/**
	 * The entry has the final result; the record remains only to refuse late
	 * frames.
	 */
	| {
			readonly phase: 'acknowledged';
			readonly outcome: Outcome;
			readonly forgetAt: Milliseconds;
	  };

export type CallEvent =
	| {readonly type: 'received'; readonly call: Call}
	/** The call owns its idempotency key and may run. */
	| {readonly type: 'claimed'; readonly call: Call}
	/** The call repeats an earlier one whose answer is recorded. */
	| {readonly type: 'claimAnswered'; readonly answer: CallAnswer}
	| {readonly type: 'claimRefused'; readonly failure: Failure}
	/** The scheduler selected the call to run. */
	| {readonly type: 'scheduled'}
	| {readonly type: 'answered'; readonly answer: CallAnswer}
	| {readonly type: 'failed'; readonly failure: Failure}
	| {readonly type: 'cancelled'; readonly request: RequestId}
	| {readonly type: 'acknowledged'};

export type CallCommand =
	| {readonly type: 'claim'; readonly call: Call}
	/** The claimed call has not run and never will. */
	| {readonly type: 'releaseClaim'; readonly call: Call}
	/** The claimed call has ended; repeats get this result. */
	| {
			readonly type: 'recordClaimEnd';
			readonly call: Call;
			readonly end: ClaimEnd;
	  }
	| {readonly type: 'enqueue'; readonly call: Call}
	| {readonly type: 'dequeue'; readonly request: RequestId}
	| {
			readonly type: 'startCall';
			readonly call: Call;
			readonly timeoutMs: Milliseconds;
	  }
	| {readonly type: 'abortCall'; readonly request: RequestId}
	| {readonly type: 'send'; readonly message: Message};

export type CallDecision = Decision<CallRecord | undefined, CallCommand>;

/** State of the agent that ledger decisions depend on. */
export type CallLedgerContext = {
	readonly incarnation: Incarnation;
	/** The agent is draining and accepts no new calls. */
	readonly leaving: boolean;
	readonly queueFull: boolean;
};

/**
 * How long a record is kept after its call's deadline or its acknowledgement, in
 * milliseconds. It must exceed `tombstoneTrustMs`, the time for which an entry
 * trusts `not-run`.
 */
export const recordRetentionMs = 60_000;

/**
 * Time to the deadline assumed for a call that is cancelled before its frame
 * arrives, in milliseconds.
 */
export const unseenCallDeadlineMs = 600_000;

/**
 * Tells whether a record has expired: no action of the entry can depend on it
 * any more.
 */
export function isExpiredRecord(
	record: CallRecord,
	now: Milliseconds,
): boolean {
	return 'forgetAt' in record && record.forgetAt <= now;
}

/**
 * Converts an entry's message to a ledger event; undefined for messages of
 * other kinds.
 */
export function toCallEvent(message: Message): CallEvent | undefined {
	switch (message.type) {
		case 'call': {
			return {type: 'received', call: message};
		}

		case 'cancel': {
			return {type: 'cancelled', request: message.request};
		}

		case 'acknowledge': {
			return {type: 'acknowledged'};
		}

		default: {
			return undefined;
		}
	}
}

/** Creates the message that reports the status of a call to an entry. */
export function createStatusMessage(
	record: CallRecord,
	request: RequestId,
): Message {
	switch (record.phase) {
		case 'answered': {
			return record.answer;
		}

		case 'failed': {
			return createFailedMessage(request, record.failure);
		}

		case 'acknowledged': {
			const failure = createFailure(
				'unknownRequest',
				'The call has ended and its answer was acknowledged.',
				{outcome: record.outcome},
			);
			return createFailedMessage(request, failure);
		}

		default: {
			return {type: 'callRunning', request};
		}
	}
}

/**
 * Creates the record of a failed call; it is a tombstone if the call did not
 * run.
 */
export function createFailedRecord(
	failure: Failure,
	deadline: Milliseconds,
): CallRecord {
	return {phase: 'failed', failure, forgetAt: deadline + recordRetentionMs};
}

/** Creates the message that reports a failed call. */
export function createFailedMessage(
	request: RequestId,
	failure: Failure,
): Message {
	const {result, outcome, detail} = failure;
	return {
		type: 'failed',
		request,
		attempt: toAttempt(0),
		result,
		outcome,
		detail,
	};
}

/** Creates the reply to a cancel. */
export function createCancelledMessage(
	request: RequestId,
	outcome: Outcome,
): Message {
	return {type: 'cancelled', request, outcome};
}

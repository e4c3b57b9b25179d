/**
 * What the agent's ledger keeps of one plain service call, its events and
 * commands, and the messages that tell an entry how a call stands.
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

/** What the agent knows of one call. Times are on the agent's own clock. */
export type CallRecord =
	/** Waits for the claim of its idempotency key. */
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
	/** A tombstone too: the id never starts again. */
	| {
			readonly phase: 'failed';
			readonly failure: Failure;
			readonly forgetAt: Milliseconds;
	  }
	/** The entry has the end of the call; what stays refuses late frames. */
	| {
			readonly phase: 'acknowledged';
			readonly outcome: Outcome;
			readonly forgetAt: Milliseconds;
	  };

export type CallEvent =
	| {readonly type: 'received'; readonly call: Call}
	/** The key of the call is its own: it may run. */
	| {readonly type: 'claimed'; readonly call: Call}
	/** The call repeats one whose answer is known. */
	| {readonly type: 'claimAnswered'; readonly answer: CallAnswer}
	| {readonly type: 'claimRefused'; readonly failure: Failure}
	/** The scheduler gave the call its turn. */
	| {readonly type: 'scheduled'}
	| {readonly type: 'answered'; readonly answer: CallAnswer}
	| {readonly type: 'failed'; readonly failure: Failure}
	| {readonly type: 'cancelled'; readonly request: RequestId}
	| {readonly type: 'acknowledged'};

export type CallCommand =
	| {readonly type: 'claim'; readonly call: Call}
	/** The claimed call did not run and never will. */
	| {readonly type: 'releaseClaim'; readonly call: Call}
	/** The claimed call has ended; repeats are told so. */
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

/** Facts of the agent that its ledger decides by. */
export type LedgerContext = {
	readonly incarnation: Incarnation;
	/** A leaving agent takes no new call. */
	readonly leaving: boolean;
	readonly queueFull: boolean;
};

/**
 * How long a record outlives its call's deadline or its acknowledgement, in
 * milliseconds. An entry trusts `not-run` for less than this (`tombstoneTrustMs`).
 */
export const retentionMs = 60_000;

/** Deadline assumed for a call that was cancelled before its frame was seen. */
export const unknownCallMs = 600_000;

/** Tells whether nothing that the entry still does can need the record. */
export function isForgettable(record: CallRecord, now: Milliseconds): boolean {
	return 'forgetAt' in record && record.forgetAt <= now;
}

/** Gives the ledger event that a message from an entry is, if it is one. */
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

/** Message that tells an entry how a call stands. */
export function describeRecord(
	record: CallRecord,
	request: RequestId,
): Message {
	switch (record.phase) {
		case 'answered': {
			return record.answer;
		}

		case 'failed': {
			return createFailed(request, record.failure);
		}

		case 'acknowledged': {
			const failure = createFailure(
				'unknownRequest',
				'The call has ended and its answer was acknowledged.',
				{outcome: record.outcome},
			);
			return createFailed(request, failure);
		}

		default: {
			return {type: 'callRunning', request};
		}
	}
}

/** Record of a call that failed; a tombstone if it did not run. */
export function createFailedRecord(
	failure: Failure,
	deadline: Milliseconds,
): CallRecord {
	return {phase: 'failed', failure, forgetAt: deadline + retentionMs};
}

/** Message that a call failed. */
export function createFailed(request: RequestId, failure: Failure): Message {
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

/** Reply to a cancel. */
export function createCancelled(request: RequestId, outcome: Outcome): Message {
	return {type: 'cancelled', request, outcome};
}

/**
 * The agent's ledger of plain service calls, decided one request at a time. A
 * record is made when the call arrives and outlives its answer until the entry
 * acknowledges it, so a duplicate gets the recorded answer or joins the running
 * call and never starts a second one. A cancel puts a tombstone on the id,
 * also on an id not seen yet, so that a late call frame is refused.
 */
import type {Decision, Milliseconds} from '../protocol/decision.js';
import {toAttempt, type Incarnation, type RequestId} from '../protocol/ids.js';
import type {Call, CallAnswer, Message} from '../protocol/messages.js';
import {
	createFailure,
	type Failure,
	type Outcome,
} from '../protocol/result-codes.js';

/** What the agent knows of one call. Times are on the agent's own clock. */
export type CallRecord =
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
	/** The scheduler gave the call its turn. */
	| {readonly type: 'scheduled'}
	| {readonly type: 'answered'; readonly answer: CallAnswer}
	| {readonly type: 'failed'; readonly failure: Failure}
	| {readonly type: 'cancelled'; readonly request: RequestId}
	| {readonly type: 'acknowledged'};

export type CallCommand =
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
const unknownCallMs = 600_000;

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

/** Decides what one event does to the record of one call. */
export function decideCall(
	record: CallRecord | undefined,
	event: CallEvent,
	now: Milliseconds,
	context: LedgerContext,
): CallDecision {
	switch (event.type) {
		case 'received': {
			return decideReceived(record, event.call, now, context);
		}

		case 'scheduled': {
			return decideScheduled(record, now);
		}

		case 'answered': {
			return decideAnswered(record, event.answer);
		}

		case 'failed': {
			return decideFailed(record, event.failure);
		}

		case 'cancelled': {
			return decideCancelled(record, event.request, now);
		}

		case 'acknowledged': {
			return decideAcknowledged(record, now);
		}
	}
}

function decideReceived(
	record: CallRecord | undefined,
	call: Call,
	now: Milliseconds,
	context: LedgerContext,
): CallDecision {
	if (call.incarnation !== context.incarnation) {
		const failure = createFailure(
			'staleIncarnation',
			'The call was sent to an earlier incarnation of this agent.',
		);
		const message = createFailed(call.request, failure);
		return [record, [{type: 'send', message}]];
	}

	if (record) {
		return [
			record,
			[{type: 'send', message: describeRecord(record, call.request)}],
		];
	}

	const failure = findRefusal(context);
	if (failure) {
		const message = createFailed(call.request, failure);
		return [
			createFailedRecord(failure, now + call.deadlineMs),
			[{type: 'send', message}],
		];
	}

	return [
		{phase: 'queued', call, deadline: now + call.deadlineMs},
		[{type: 'enqueue', call}],
	];
}

function findRefusal(context: LedgerContext): Failure | undefined {
	if (context.leaving) {
		return createFailure('stopping', 'The backend server is leaving.');
	}

	if (context.queueFull) {
		return createFailure('queueFull', "The agent's queue is full.");
	}

	return undefined;
}

function decideScheduled(
	record: CallRecord | undefined,
	now: Milliseconds,
): CallDecision {
	if (record?.phase !== 'queued') {
		return [record, []];
	}

	const {call, deadline} = record;
	if (now >= deadline) {
		const failure = createFailure(
			'deadlineUnreachable',
			'The deadline passed while the call was queued.',
		);
		const message = createFailed(call.request, failure);
		return [createFailedRecord(failure, deadline), [{type: 'send', message}]];
	}

	return [
		{phase: 'running', call, deadline, cancelled: false},
		[{type: 'startCall', call, timeoutMs: deadline - now}],
	];
}

function decideAnswered(
	record: CallRecord | undefined,
	answer: CallAnswer,
): CallDecision {
	if (record?.phase !== 'running') {
		return [record, []];
	}

	const forgetAt = record.deadline + retentionMs;
	return [
		{phase: 'answered', answer, forgetAt},
		[{type: 'send', message: answer}],
	];
}

function decideFailed(
	record: CallRecord | undefined,
	failure: Failure,
): CallDecision {
	if (record?.phase !== 'running') {
		return [record, []];
	}

	const message = createFailed(record.call.request, failure);
	return [
		createFailedRecord(failure, record.deadline),
		[{type: 'send', message}],
	];
}

function decideCancelled(
	record: CallRecord | undefined,
	request: RequestId,
	now: Milliseconds,
): CallDecision {
	if (!record || record.phase === 'queued') {
		const failure = createFailure('cancelled', 'Cancelled before it ran.', {
			outcome: 'not-run',
		});
		const commands: CallCommand[] = [
			{type: 'send', message: createCancelled(request, 'not-run')},
		];
		if (record) {
			commands.unshift({type: 'dequeue', request});
		}

		const deadline = record?.deadline ?? now + unknownCallMs;
		return [createFailedRecord(failure, deadline), commands];
	}

	switch (record.phase) {
		case 'running': {
			const message = createCancelled(request, 'unknown');
			const commands: CallCommand[] = [{type: 'send', message}];
			// A non-idempotent call runs on, so that its answer is known to a repeat.
			if (record.call.idempotent) {
				commands.unshift({type: 'abortCall', request});
			}

			return [{...record, cancelled: true}, commands];
		}

		case 'answered': {
			return [record, [{type: 'send', message: record.answer}]];
		}

		case 'failed': {
			const message = createCancelled(request, record.failure.outcome);
			return [record, [{type: 'send', message}]];
		}

		case 'acknowledged': {
			const message = createCancelled(request, record.outcome);
			return [record, [{type: 'send', message}]];
		}
	}
}

function decideAcknowledged(
	record: CallRecord | undefined,
	now: Milliseconds,
): CallDecision {
	const forgetAt = now + retentionMs;
	switch (record?.phase) {
		case 'answered': {
			return [{phase: 'acknowledged', outcome: 'ran', forgetAt}, []];
		}

		case 'failed': {
			const {outcome} = record.failure;
			return [{phase: 'acknowledged', outcome, forgetAt}, []];
		}

		default: {
			return [record, []];
		}
	}
}

function describeRecord(record: CallRecord, request: RequestId): Message {
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

function createFailedRecord(
	failure: Failure,
	deadline: Milliseconds,
): CallRecord {
	return {phase: 'failed', failure, forgetAt: deadline + retentionMs};
}

function createFailed(request: RequestId, failure: Failure): Message {
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

function createCancelled(request: RequestId, outcome: Outcome): Message {
	return {type: 'cancelled', request, outcome};
}

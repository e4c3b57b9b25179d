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
			readonly at: Milliseconds;
	  }
	| {
			readonly phase: 'failed';
			readonly failure: Failure;
			readonly at: Milliseconds;
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
			return decideAnswered(record, event.answer, now);
		}

		case 'failed': {
			return decideFailed(record, event.failure, now);
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
	if (record) {
		return [
			record,
			[{type: 'send', message: describeRecord(record, call.request)}],
		];
	}

	const failure = findRefusal(call, context);
	if (failure) {
		return [
			{phase: 'failed', failure, at: now},
			[{type: 'send', message: createFailed(call.request, failure)}],
		];
	}

	return [
		{phase: 'queued', call, deadline: now + call.deadlineMs},
		[{type: 'enqueue', call}],
	];
}

function findRefusal(call: Call, context: LedgerContext): Failure | undefined {
	if (call.incarnation !== context.incarnation) {
		return createFailure(
			'staleIncarnation',
			'The call was sent to an earlier incarnation of this agent.',
		);
	}

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
		return [
			{phase: 'failed', failure, at: now},
			[{type: 'send', message: createFailed(call.request, failure)}],
		];
	}

	return [
		{phase: 'running', call, deadline, cancelled: false},
		[{type: 'startCall', call, timeoutMs: deadline - now}],
	];
}

function decideAnswered(
	record: CallRecord | undefined,
	answer: CallAnswer,
	now: Milliseconds,
): CallDecision {
	if (record?.phase !== 'running') {
		return [record, []];
	}

	return [
		{phase: 'answered', answer, at: now},
		[{type: 'send', message: answer}],
	];
}

function decideFailed(
	record: CallRecord | undefined,
	failure: Failure,
	now: Milliseconds,
): CallDecision {
	if (record?.phase !== 'running') {
		return [record, []];
	}

	return [
		{phase: 'failed', failure, at: now},
		[{type: 'send', message: createFailed(record.call.request, failure)}],
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

		return [{phase: 'failed', failure, at: now}, commands];
	}

	if (record.phase === 'running') {
		return [
			{...record, cancelled: true},
			[
				{type: 'abortCall', request},
				{type: 'send', message: createCancelled(request, 'unknown')},
			],
		];
	}

	const outcome = record.phase === 'answered' ? 'ran' : record.failure.outcome;
	return [record, [{type: 'send', message: createCancelled(request, outcome)}]];
}

function decideAcknowledged(
	record: CallRecord | undefined,
	now: Milliseconds,
): CallDecision {
	if (record?.phase !== 'answered') {
		return [record, []];
	}

	const failure = createFailure('ok', 'Answered and acknowledged.');
	return [{phase: 'failed', failure, at: now}, []];
}

function describeRecord(record: CallRecord, request: RequestId): Message {
	switch (record.phase) {
		case 'answered': {
			return record.answer;
		}

		case 'failed': {
			return createFailed(request, record.failure);
		}

		default: {
			return {type: 'callRunning', request};
		}
	}
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

/**
 * State machine of one call in the agent's ledger of plain service calls. A
 * record is created when the call arrives, and its answer is kept until the
 * entry acknowledges it. A duplicate therefore gets the recorded answer or joins
 * the running call, and never starts a second one. A cancel puts a tombstone on
 * the request id, even if the id has not been seen yet, so that a call frame
 * that arrives late is refused.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {RequestId} from '../protocol/ids.js';
import type {Call, CallAnswer} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';
import {
	decideClaimAnswered,
	decideClaimed,
	decideClaimRefused,
	listEndCommands,
	listReleaseCommands,
} from './call-claiming.js';
import {
	type CallCommand,
	type CallDecision,
	type CallEvent,
	type CallRecord,
	createCancelledMessage,
	createFailedMessage,
	createFailedRecord,
	createStatusMessage,
	type CallLedgerContext,
	recordRetentionMs,
	unseenCallDeadlineMs,
} from './call-record.js';
import {isClaimRequired} from './claims.js';

/** Returns the next record of a call and the commands that an event causes. */
export function decideCall(
	record: CallRecord | undefined,
	event: CallEvent,
	now: Milliseconds,
	context: CallLedgerContext,
): CallDecision {
	switch (event.type) {
		case 'received': {
			return decideReceived(record, event.call, now, context);
		}

		case 'claimed': {
			return decideClaimed(record, event.call);
		}

		case 'claimAnswered': {
			return decideClaimAnswered(record, event.answer);
		}

		case 'claimRefused': {
			return decideClaimRefused(record, event.failure);
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
	context: CallLedgerContext,
): CallDecision {
	if (call.incarnation !== context.incarnation) {
		const failure = createFailure(
			'staleIncarnation',
			'The call was sent to an earlier incarnation of this agent.',
		);
		const message = createFailedMessage(call.request, failure);
		return [record, [{type: 'send', message}]];
	}

	if (record) {
		return [
			record,
			[{type: 'send', message: createStatusMessage(record, call.request)}],
		];
	}

	const failure = findRefusal(context);
	if (failure) {
		const message = createFailedMessage(call.request, failure);
		return [
			createFailedRecord(failure, now + call.deadlineMs),
			[{type: 'send', message}],
		];
	}

	const deadline = now + call.deadlineMs;
	return isClaimRequired(call)
		? [{phase: 'claiming', call, deadline}, [{type: 'claim', call}]]
		: [{phase: 'queued', call, deadline}, [{type: 'enqueue', call}]];
}

function findRefusal(context: CallLedgerContext): Failure | undefined {
	if (context.leaving) {
		return createFailure('stopping', 'The backend server is draining.');
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
		const message = createFailedMessage(call.request, failure);
		return [
			createFailedRecord(failure, deadline),
			[{type: 'send', message}, ...listReleaseCommands(call)],
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
): CallDecision {
	if (record?.phase !== 'running') {
		return [record, []];
	}

	const forgetAt = record.deadline + recordRetentionMs;
	return [
		{phase: 'answered', answer, forgetAt},
		[
			{type: 'send', message: answer},
			...listEndCommands(record.call, {type: 'answered', answer}),
		],
	];
}

function decideFailed(
	record: CallRecord | undefined,
	failure: Failure,
): CallDecision {
	if (record?.phase !== 'running') {
		return [record, []];
	}

	const {call, deadline} = record;
	const message = createFailedMessage(call.request, failure);
	const claimCommands =
		failure.outcome === 'not-run'
			? listReleaseCommands(call)
			: listEndCommands(call, {type: 'failed', failure});
	return [
		createFailedRecord(failure, deadline),
		[{type: 'send', message}, ...claimCommands],
	];
}

function decideCancelled(
	record: CallRecord | undefined,
	request: RequestId,
	now: Milliseconds,
): CallDecision {
	if (!record || record.phase === 'queued' || record.phase === 'claiming') {
		const failure = createFailure('cancelled', 'Cancelled before it ran.', {
			outcome: 'not-run',
		});
		const commands: CallCommand[] = [
			{type: 'send', message: createCancelledMessage(request, 'not-run')},
		];
		if (record) {
			commands.unshift({type: 'dequeue', request});
			commands.push(...listReleaseCommands(record.call));
		}

		const deadline = record?.deadline ?? now + unseenCallDeadlineMs;
		return [createFailedRecord(failure, deadline), commands];
	}

	switch (record.phase) {
		case 'running': {
			const message = createCancelledMessage(request, 'unknown');
			const commands: CallCommand[] = [{type: 'send', message}];
			// A non-idempotent call keeps running, so that a repeat gets its recorded
			// answer.
			if (record.call.idempotent) {
				commands.unshift({type: 'abortCall', request});
			}

			return [{...record, cancelled: true}, commands];
		}

		case 'answered': {
			return [record, [{type: 'send', message: record.answer}]];
		}

		case 'failed': {
			const message = createCancelledMessage(request, record.failure.outcome);
			return [record, [{type: 'send', message}]];
		}

		case 'acknowledged': {
			const message = createCancelledMessage(request, record.outcome);
			return [record, [{type: 'send', message}]];
		}
	}
}

function decideAcknowledged(
	record: CallRecord | undefined,
	now: Milliseconds,
): CallDecision {
	const forgetAt = now + recordRetentionMs;
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

/** Ledger decisions about claims on idempotency keys. */
import type {Call, CallAnswer} from '../protocol/messages.js';
import type {Failure} from '../protocol/result-codes.js';
import {
	type CallCommand,
	type CallDecision,
	type CallRecord,
	createFailedMessage,
	createFailedRecord,
	recordRetentionMs,
} from './call-record.js';
import {type ClaimEnd, isClaimRequired} from './claims.js';

/**
 * Queues a call that owns its key, or releases the claim if the call has
 * already ended.
 */
export function decideClaimed(
	record: CallRecord | undefined,
	call: Call,
): CallDecision {
	if (record?.phase !== 'claiming') {
		return [record, [{type: 'releaseClaim', call}]];
	}

	return [{...record, phase: 'queued'}, [{type: 'enqueue', call}]];
}

/** Answers a repeat with the recorded answer of the first call. */
export function decideClaimAnswered(
	record: CallRecord | undefined,
	answer: CallAnswer,
): CallDecision {
	if (record?.phase !== 'claiming') {
		return [record, []];
	}

	const forgetAt = record.deadline + recordRetentionMs;
	return [
		{phase: 'answered', answer, forgetAt},
		[{type: 'send', message: answer}],
	];
}

/** Fails a call whose key belongs to another call or can't be claimed. */
export function decideClaimRefused(
	record: CallRecord | undefined,
	failure: Failure,
): CallDecision {
	if (record?.phase !== 'claiming') {
		return [record, []];
	}

	const message = createFailedMessage(record.call.request, failure);
	return [
		createFailedRecord(failure, record.deadline),
		[{type: 'send', message}],
	];
}

/** Lists the commands that release the claim of a call that will never run. */
export const listReleaseCommands = (call: Call): CallCommand[] =>
	isClaimRequired(call) ? [{type: 'releaseClaim', call}] : [];

/** Lists the commands that record how a claimed call ended. */
export function listEndCommands(call: Call, end: ClaimEnd): CallCommand[] {
	return isClaimRequired(call) ? [{type: 'recordClaimEnd', call, end}] : [];
}

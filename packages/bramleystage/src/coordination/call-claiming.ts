/** The part of the agent's ledger that deals with claims of idempotency keys. */
import type {Call, CallAnswer} from '../protocol/messages.js';
import type {Failure} from '../protocol/result-codes.js';
import {
	type CallCommand,
	type CallDecision,
	type CallRecord,
	createFailed,
	createFailedRecord,
	retentionMs,
} from './call-record.js';
import {type ClaimEnd, isClaimed} from './claims.js';

/** The key belongs to the call, unless the call has ended meanwhile. */
export function decideClaimed(
	record: CallRecord | undefined,
	call: Call,
): CallDecision {
	if (record?.phase !== 'claiming') {
		return [record, [{type: 'releaseClaim', call}]];
	}

	return [{...record, phase: 'queued'}, [{type: 'enqueue', call}]];
}

/** The call repeats one whose answer is known. */
export function decideClaimAnswered(
	record: CallRecord | undefined,
	answer: CallAnswer,
): CallDecision {
	if (record?.phase !== 'claiming') {
		return [record, []];
	}

	const forgetAt = record.deadline + retentionMs;
	return [
		{phase: 'answered', answer, forgetAt},
		[{type: 'send', message: answer}],
	];
}

/** The key belongs to another call, or can't be claimed. */
export function decideClaimRefused(
	record: CallRecord | undefined,
	failure: Failure,
): CallDecision {
	if (record?.phase !== 'claiming') {
		return [record, []];
	}

	const message = createFailed(record.call.request, failure);
	return [
		createFailedRecord(failure, record.deadline),
		[{type: 'send', message}],
	];
}

/** Says that a claimed call will never run. */
export const listReleases = (call: Call): CallCommand[] =>
	isClaimed(call) ? [{type: 'releaseClaim', call}] : [];

/** Says how a claimed call ended. */
export function listEnds(call: Call, end: ClaimEnd): CallCommand[] {
	return isClaimed(call) ? [{type: 'recordClaimEnd', call, end}] : [];
}

/**
 * Opening of a stage at its agent, either without state or with the state of an
 * earlier attempt.
 */
import type {Attempt} from '../protocol/ids.js';
import type {Activation, StageOpen, Token} from '../protocol/messages.js';
import {createFailure} from '../protocol/result-codes.js';
import {createAppendList} from '../state/append-list.js';
import type {OpenStage, StageRecord} from '../state/stage-record.js';
import type {
	StageCommand,
	StageContext,
	StageDecision,
} from './stage-protocol.js';
import {createStageFailed} from './stage-step.js';

/** Opens a stage, or continues with its state under a newer attempt. */
export function decideOpened(
	record: StageRecord | undefined,
	open: StageOpen,
	context: StageContext,
): StageDecision {
	const knownAttempt = findAttempt(record);
	if (knownAttempt !== undefined && knownAttempt >= open.attempt) {
		return decideDuplicateOpen(record, open);
	}

	if (open.keeps) {
		return record?.phase === 'open' && record.open.attempt >= open.lineage
			? decideContinued(record, open)
			: [record, [createStaleAttemptFailure(open)]];
	}

	const mismatch = context.leaving
		? 'The backend server is draining.'
		: context.findMismatch(open);
	if (mismatch !== undefined) {
		const failure = createFailure(
			context.leaving ? 'stopping' : 'backendRefused',
			mismatch,
		);
		return [
			record,
			[{type: 'sendToEntry', message: createStageFailed(open, failure)}],
		];
	}

	const created = createOpenStage(open);
	const commands: StageCommand[] = [createOpenedCommand(created)];
	if (record?.phase === 'open') {
		commands.unshift(createCloseCommand(record));
	}

	return [created, commands];
}

const findAttempt = (record: StageRecord | undefined): Attempt | undefined =>
	record?.phase === 'open' ? record.open.attempt : record?.attempt;

function createOpenStage(open: StageOpen): OpenStage {
	return {
		phase: 'open',
		open,
		sequence: open.attempt,
		next: open.fromPosition,
		runningStep: undefined,
		pendingInput: undefined,
		promptTokens: undefined,
		lastSent: undefined,
		replayedUpTo: undefined,
		retained: createAppendList(),
		retainedBytes: 0,
		unacknowledged: [],
	};
}

/** Continues with the stage's state under a newer attempt. */
function decideContinued(record: OpenStage, open: StageOpen): StageDecision {
	const {attempt} = open;
	const continued: OpenStage = {
		...record,
		open,
		pendingInput: undefined,
		replayedUpTo: undefined,
		lastSent: record.lastSent && updateSent(record.lastSent, open),
		unacknowledged: record.unacknowledged.map((token) => ({
			...token,
			attempt,
		})),
	};
	return [
		continued,
		[...sendUnacknowledged(continued), createOpenedCommand(continued)],
	];
}

const updateSent = (
	sent: Activation | Token,
	{attempt, index}: StageOpen,
): Activation | Token =>
	sent.type === 'token'
		? {...sent, attempt}
		: {...sent, attempt, index: index + 1};

function decideDuplicateOpen(
	record: StageRecord | undefined,
	open: StageOpen,
): StageDecision {
	return record?.phase === 'open' && record.open.attempt === open.attempt
		? [record, [...sendUnacknowledged(record), createOpenedCommand(record)]]
		: [record, [createStaleAttemptFailure(open)]];
}

function createStaleAttemptFailure(open: StageOpen): StageCommand {
	const failure = createFailure(
		'staleAttempt',
		'A newer attempt has been seen, or the state of the attempt no longer exists.',
	);
	return {type: 'sendToEntry', message: createStageFailed(open, failure)};
}

/** Resends the tokens that the entry has not acknowledged. */
export const sendUnacknowledged = ({
	unacknowledged,
}: OpenStage): StageCommand[] =>
	unacknowledged.map((message) => ({type: 'sendToEntry', message}));

/** Creates the command that drops the stage's state at the engine. */
export const createCloseCommand = ({
	open,
	sequence,
}: OpenStage): StageCommand => ({
	type: 'closeSequence',
	open,
	sequence,
});

/**
 * Creates the message that confirms the opening to the entry and reports the
 * next position.
 */
export function createOpenedCommand({
	open,
	next,
	retained,
}: OpenStage): StageCommand {
	const {request, attempt, index} = open;
	const retains = retained !== undefined;
	return {
		type: 'sendToEntry',
		message: {type: 'stageOpened', request, attempt, index, next, retains},
	};
}

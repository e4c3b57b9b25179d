/** Opening of one stage at its agent: without state, or with what it has. */
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

/** Opens a stage, or goes on with its state under a newer attempt. */
export function decideOpened(
	record: StageRecord | undefined,
	open: StageOpen,
	context: StageContext,
): StageDecision {
	const known = findAttempt(record);
	if (known !== undefined && known >= open.attempt) {
		return decideDuplicateOpen(record, open);
	}

	if (open.keeps) {
		return record?.phase === 'open' && record.open.attempt >= open.lineage
			? decideKept(record, open)
			: [record, [createRefusal(open)]];
	}

	const mismatch = context.leaving
		? 'The backend server is leaving.'
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
	const commands: StageCommand[] = [createOpened(created)];
	if (record?.phase === 'open') {
		commands.unshift(createClose(record));
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
		running: undefined,
		early: undefined,
		promptTokens: undefined,
		sent: undefined,
		replayed: undefined,
		retained: createAppendList(),
		retainedBytes: 0,
		unacknowledged: [],
	};
}

/** Goes on with the stage's state under a newer attempt. */
function decideKept(record: OpenStage, open: StageOpen): StageDecision {
	const {attempt} = open;
	const kept: OpenStage = {
		...record,
		open,
		early: undefined,
		replayed: undefined,
		sent: record.sent && renewSent(record.sent, open),
		unacknowledged: record.unacknowledged.map((token) => ({
			...token,
			attempt,
		})),
	};
	return [kept, [...sendUnacknowledged(kept), createOpened(kept)]];
}

const renewSent = (
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
		? [record, [...sendUnacknowledged(record), createOpened(record)]]
		: [record, [createRefusal(open)]];
}

function createRefusal(open: StageOpen): StageCommand {
	const failure = createFailure(
		'staleAttempt',
		'The attempt is older than one already seen, or its state is gone.',
	);
	return {type: 'sendToEntry', message: createStageFailed(open, failure)};
}

/** Sends the entry the tokens that it may lack. */
export const sendUnacknowledged = ({
	unacknowledged,
}: OpenStage): StageCommand[] =>
	unacknowledged.map((message) => ({type: 'sendToEntry', message}));

/** Drops the stage's state at the engine. */
export const createClose = ({open, sequence}: OpenStage): StageCommand => ({
	type: 'closeSequence',
	open,
	sequence,
});

/** Tells the entry that the stage is open, and how far it has run. */
export function createOpened({open, next, retained}: OpenStage): StageCommand {
	const {request, attempt, index} = open;
	const retains = retained !== undefined;
	return {
		type: 'sendToEntry',
		message: {type: 'stageOpened', request, attempt, index, next, retains},
	};
}

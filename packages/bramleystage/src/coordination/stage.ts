/**
 * One stage of a pipeline at its agent, decided one request at a time. A stage
 * runs a token only if it is the next one of its attempt: any other position
 * or an older attempt is dropped. The last stage gives each token to the entry
 * and, as the next input, to the first stage. When another stage is replaced,
 * this one keeps its state under a new attempt and sends again what the new
 * stage, the entry or a reopened session may lack.
 */
import type {Milliseconds} from '../protocol/decision.js';
import {type HostId, toAttempt} from '../protocol/ids.js';
import type {
	Activation,
	Cancel,
	Stage,
	StageOpen,
	StageResume,
} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';
import {listItems} from '../state/append-list.js';
import type {OpenStage, StageRecord} from '../state/stage-record.js';
import {
	createClose,
	createOpened,
	decideOpened,
	sendUnacknowledged,
} from './stage-open.js';
import type {
	StageCommand,
	StageContext,
	StageDecision,
	StageEvent,
} from './stage-protocol.js';
import {
	createStageFailed,
	decideInput,
	decideStepped,
	isLast,
} from './stage-step.js';

/** A tombstone at this attempt refuses every attempt of its request. */
const lastAttempt = toAttempt(Number.MAX_SAFE_INTEGER);

/** Decides what one event does to a stage. */
export function decideStage(
	record: StageRecord | undefined,
	event: StageEvent,
	now: Milliseconds,
	context: StageContext,
): StageDecision {
	switch (event.type) {
		case 'opened': {
			return decideOpened(record, event.open, context);
		}

		case 'cancelled': {
			return decideCancelled(record, event.message, now);
		}

		default: {
			return record?.phase === 'open'
				? decideOpenStage(record, event, now, context)
				: [record, []];
		}
	}
}

type OpenStageEvent = Exclude<StageEvent, {type: 'opened' | 'cancelled'}>;

function decideOpenStage(
	record: OpenStage,
	event: OpenStageEvent,
	now: Milliseconds,
	context: StageContext,
): StageDecision {
	switch (event.type) {
		case 'run':
		case 'activation':
		case 'token': {
			return decideInput(record, event);
		}

		case 'resumed': {
			return [record, listResumed(record, event.message)];
		}

		case 'stepped': {
			return decideStepped(record, event.output, context);
		}

		case 'stepFailed': {
			return decideStepFailed(record, event.failure, now);
		}

		case 'acknowledged': {
			const unacknowledged = record.unacknowledged.filter(
				({position}) => position >= event.position,
			);
			return [{...record, unacknowledged}, []];
		}

		case 'entryReturned': {
			return [record, [...sendUnacknowledged(record), createOpened(record)]];
		}

		case 'peerReturned': {
			const isReceiver = findReceiver(record.open)?.address === event.address;
			return [record, isReceiver ? sendAgain(record) : []];
		}

		case 'peerLost': {
			const receiver = findReceiver(record.open);
			return receiver?.address === event.address
				? [record, [createPeerLost(record.open, receiver.host)]]
				: [record, []];
		}
	}
}

function decideStepFailed(
	{open, sequence}: OpenStage,
	failure: Failure,
	now: Milliseconds,
): StageDecision {
	return [
		{phase: 'closed', attempt: open.attempt, ran: true, at: now},
		[
			{type: 'closeSequence', open, sequence},
			{type: 'sendToEntry', message: createStageFailed(open, failure)},
		],
	];
}

function listResumed(
	record: OpenStage,
	{attempt, replay}: StageResume,
): StageCommand[] {
	const {open, sent, retained} = record;
	if (attempt !== open.attempt) {
		return [];
	}

	if (!replay || sent?.type !== 'activation' || !retained) {
		return sendAgain(record);
	}

	const message: Activation = {
		...sent,
		first: open.fromPosition,
		values: listItems(retained).flat(),
	};
	return [{type: 'sendToStage', index: message.index, open, message}];
}

function sendAgain({open, sent}: OpenStage): StageCommand[] {
	if (!sent || (sent.type === 'token' && sent.finish)) {
		return [];
	}

	const index = sent.type === 'token' ? 0 : sent.index;
	return [{type: 'sendToStage', index, open, message: sent}];
}

/** Finds the stage that this one sends to: the last sends to the first. */
function findReceiver(open: StageOpen): Stage | undefined {
	const index = isLast(open) ? 0 : open.index + 1;
	return index === open.index ? undefined : open.stages[index];
}

function createPeerLost(open: StageOpen, lost: HostId): StageCommand {
	const failure = createFailure('backendLost', 'The next stage is lost.');
	return {
		type: 'sendToEntry',
		message: {...createStageFailed(open, failure), lost},
	};
}

function decideCancelled(
	record: StageRecord | undefined,
	{request, upTo}: Cancel,
	now: Milliseconds,
): StageDecision {
	const attempt = upTo ?? lastAttempt;
	const ran = hasRun(record);
	const answer: StageCommand = {
		type: 'sendToEntry',
		message: {type: 'cancelled', request, outcome: ran ? 'ran' : 'not-run'},
	};
	if (record?.phase === 'open' && record.open.attempt > attempt) {
		return [record, [answer]];
	}

	const commands: StageCommand[] = [answer];
	if (record?.phase === 'open') {
		commands.unshift(createClose(record));
	}

	const known = record?.phase === 'closed' ? record.attempt : attempt;
	return [
		{
			phase: 'closed',
			attempt: toAttempt(Math.max(known, attempt)),
			ran,
			at: now,
		},
		commands,
	];
}

function hasRun(record: StageRecord | undefined): boolean {
	return record?.phase === 'open'
		? record.running !== undefined || record.next > record.open.fromPosition
		: (record?.ran ?? false);
}

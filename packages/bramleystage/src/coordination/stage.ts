/**
 * State machine of one request's pipeline stage at its agent. A stage runs an
 * input only if it belongs to the current attempt and is for the next position;
 * any other input is dropped. The last stage sends each token to the entry and,
 * as the next input, to the first stage. When another stage is replaced, this
 * one keeps its state under a new attempt number and resends what the new
 * stage, the entry or the peer of a re-established session may lack.
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
	createCloseCommand,
	createOpenedCommand,
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
	isLastStage,
} from './stage-step.js';

/** A tombstone with this attempt number refuses every attempt of its request. */
const maxAttempt = toAttempt(Number.MAX_SAFE_INTEGER);

/** Returns the next record of a stage and the commands that an event causes. */
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

		case 'entryReconnected': {
			return [record, record ? listEntryResends(record) : []];
		}

		default: {
			return record?.phase === 'open'
				? decideOpenStage(record, event, now, context)
				: [record, []];
		}
	}
}

type OpenStageEvent = Exclude<
	StageEvent,
	{type: 'opened' | 'cancelled' | 'entryReconnected'}
>;

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
			return decideResumed(record, event.message);
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

		case 'peerReconnected': {
			const isReceiver = findReceiver(record.open)?.address === event.address;
			return [record, isReceiver ? sendLastOutput(record) : []];
		}

		case 'peerLost': {
			const receiver = findReceiver(record.open);
			return receiver?.address === event.address
				? [record, [createPeerLostCommand(record.open, receiver.host)]]
				: [record, []];
		}
	}
}

/**
 * Lists the messages that the entry may have missed when its session was lost.
 */
function listEntryResends(record: StageRecord): StageCommand[] {
	if (record.phase === 'open') {
		return [...sendUnacknowledged(record), createOpenedCommand(record)];
	}

	const {failed} = record;
	return failed ? [{type: 'sendToEntry', message: failed}] : [];
}

function decideStepFailed(
	{open, sequence}: OpenStage,
	failure: Failure,
	now: Milliseconds,
): StageDecision {
	const failed = createStageFailed(open, failure);
	return [
		{phase: 'closed', attempt: open.attempt, ran: true, failed, endedAt: now},
		[
			{type: 'closeSequence', open, sequence},
			{type: 'sendToEntry', message: failed},
		],
	];
}

function decideResumed(
	record: OpenStage,
	{attempt, replay}: StageResume,
): StageDecision {
	if (attempt !== record.open.attempt) {
		return [record, []];
	}

	const replayed = replay ? record.lastSent?.position : record.replayedUpTo;
	const resumed: OpenStage = {...record, replayedUpTo: replayed};
	return [resumed, sendLastOutput(resumed)];
}

/**
 * Resends the last output, with the earlier activations that the receiver may
 * lack.
 */
function sendLastOutput(record: OpenStage): StageCommand[] {
	const {open, lastSent: sent} = record;
	if (!sent || (sent.type === 'token' && sent.finish)) {
		return [];
	}

	return sent.type === 'token'
		? [{type: 'sendToStage', index: 0, open, message: sent}]
		: [
				{
					type: 'sendToStage',
					index: sent.index,
					open,
					message: extendActivation(record, sent),
				},
			];
}

/**
 * Adds all retained values to an activation that may reach a stage without
 * state. An activation more than one position past the replay needs none: its
 * input was produced only after the next stage had received the replay.
 */
function extendActivation(
	{open, retained, replayedUpTo: replayed}: OpenStage,
	sent: Activation,
): Activation {
	return retained && replayed !== undefined && sent.position <= replayed + 1
		? {
				...sent,
				first: open.fromPosition,
				values: listItems(retained).flat(),
			}
		: sent;
}

/**
 * Finds the stage that receives this one's output; the last stage sends to the
 * first.
 */
function findReceiver(open: StageOpen): Stage | undefined {
	const index = isLastStage(open) ? 0 : open.index + 1;
	return index === open.index ? undefined : open.stages[index];
}

function createPeerLostCommand(open: StageOpen, lost: HostId): StageCommand {
	const failure = createFailure(
		'backendLost',
		'The next stage is unreachable.',
	);
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
	const attempt = upTo ?? maxAttempt;
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
		commands.unshift(createCloseCommand(record));
	}

	const closedAttempt = record?.phase === 'closed' ? record.attempt : attempt;
	return [
		{
			phase: 'closed',
			attempt: toAttempt(Math.max(closedAttempt, attempt)),
			ran,
			failed: undefined,
			endedAt: now,
		},
		commands,
	];
}

function hasRun(record: StageRecord | undefined): boolean {
	return record?.phase === 'open'
		? record.runningStep !== undefined || record.next > record.open.fromPosition
		: (record?.ran ?? false);
}

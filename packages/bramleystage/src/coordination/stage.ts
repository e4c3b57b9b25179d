/**
 * One stage of a pipeline at its agent, decided one request at a time. A stage
 * runs a token only if it is the next one of its attempt: any other position
 * or an older attempt is dropped. The last stage gives each token to the entry
 * and, as the next input, to the first stage.
 */
import type {Decision, Milliseconds} from '../protocol/decision.js';
import {
	type Attempt,
	type Position,
	toAttempt,
	toPosition,
} from '../protocol/ids.js';
import type {
	Activation,
	Cancel,
	Message,
	StageOpen,
	StageRun,
	Token,
} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';

/** A tombstone at this attempt refuses every attempt of its request. */
const lastAttempt = toAttempt(Number.MAX_SAFE_INTEGER);

/** What a step of the engine starts from. */
export type StepInput =
	| {
			readonly kind: 'prompt';
			readonly prompt: string;
			readonly given: readonly number[];
	  }
	| {readonly kind: 'token'; readonly token: number}
	| {readonly kind: 'values'; readonly values: readonly number[]};

/** What a step of the engine gives: activations, or the token at the last layer. */
export type StepOutput = {
	readonly position: Position;
	readonly values: readonly number[];
	readonly token?: {
		readonly id: number;
		readonly text: string;
		readonly isEnd: boolean;
	};
	readonly promptTokens?: number;
};

export type StageRecord =
	| {
			readonly phase: 'open';
			readonly open: StageOpen;
			/** Position of the token that this stage runs next. */
			readonly next: Position;
			readonly running: boolean;
			readonly promptTokens: number | undefined;
	  }
	/** Ended; refuses late frames of the request's attempts up to `attempt`. */
	| {
			readonly phase: 'closed';
			readonly attempt: Attempt;
			readonly ran: boolean;
			readonly at: Milliseconds;
	  };

export type OpenStage = Extract<StageRecord, {phase: 'open'}>;

export type StageEvent =
	| {readonly type: 'opened'; readonly open: StageOpen}
	| {readonly type: 'run'; readonly message: StageRun}
	| {readonly type: 'activation'; readonly message: Activation}
	/** A token from the last stage, at the first stage. */
	| {readonly type: 'token'; readonly message: Token}
	| {readonly type: 'stepped'; readonly output: StepOutput}
	| {readonly type: 'stepFailed'; readonly failure: Failure}
	| {readonly type: 'cancelled'; readonly message: Cancel};

export type StageCommand =
	| {readonly type: 'openSequence'; readonly open: StageOpen}
	| {readonly type: 'closeSequence'; readonly open: StageOpen}
	| {
			readonly type: 'runStep';
			readonly open: StageOpen;
			readonly position: Position;
			readonly input: StepInput;
	  }
	| {
			readonly type: 'sendToStage';
			readonly index: number;
			readonly open: StageOpen;
			readonly message: Message;
	  }
	| {readonly type: 'sendToEntry'; readonly message: Message};

export type StageDecision = Decision<StageRecord | undefined, StageCommand>;

/** Facts of the agent that its stages decide by. */
export type StageContext = {
	/** A leaving agent opens no new stage. */
	readonly leaving: boolean;
	/** Why the agent cannot run these layers, if it cannot. */
	readonly findMismatch: (open: StageOpen) => string | undefined;
};

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
				? decideOpenStage(record, event, now)
				: [record, []];
		}
	}
}

function decideOpened(
	record: StageRecord | undefined,
	open: StageOpen,
	context: StageContext,
): StageDecision {
	const known =
		record?.phase === 'open' ? record.open.attempt : record?.attempt;
	if (known !== undefined && known >= open.attempt) {
		return decideDuplicateOpen(record, open);
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
			[{type: 'sendToEntry', message: createFailed(open, failure)}],
		];
	}

	const commands: StageCommand[] = [
		{type: 'openSequence', open},
		{type: 'sendToEntry', message: createOpened(open)},
	];
	if (record?.phase === 'open') {
		commands.unshift({type: 'closeSequence', open: record.open});
	}

	return [
		{
			phase: 'open',
			open,
			next: open.fromPosition,
			running: false,
			promptTokens: undefined,
		},
		commands,
	];
}

function decideDuplicateOpen(
	record: StageRecord | undefined,
	open: StageOpen,
): StageDecision {
	if (record?.phase === 'open' && record.open.attempt === open.attempt) {
		return [record, [{type: 'sendToEntry', message: createOpened(open)}]];
	}

	const failure = createFailure(
		'staleAttempt',
		'The attempt is older than one already seen, or was cancelled.',
	);
	return [
		record,
		[{type: 'sendToEntry', message: createFailed(open, failure)}],
	];
}

type OpenStageEvent = Exclude<StageEvent, {type: 'opened' | 'cancelled'}>;

function decideOpenStage(
	record: OpenStage,
	event: OpenStageEvent,
	now: Milliseconds,
): StageDecision {
	switch (event.type) {
		case 'run': {
			const {message} = event;
			if (!isNext(record, message.attempt, record.open.fromPosition)) {
				return [record, []];
			}

			const {prompt, given} = message;
			return decideStep(record, {kind: 'prompt', prompt, given});
		}

		case 'activation': {
			const {message} = event;
			return isNext(record, message.attempt, message.position)
				? decideStep(record, {kind: 'values', values: message.values})
				: [record, []];
		}

		case 'token': {
			const {message} = event;
			const next = toPosition(message.position + 1);
			return isNext(record, message.attempt, next)
				? decideStep(record, {kind: 'token', token: message.token})
				: [record, []];
		}

		case 'stepped': {
			return decideStepped(record, event.output, now);
		}

		case 'stepFailed': {
			const {open} = record;
			return [
				{phase: 'closed', attempt: open.attempt, ran: true, at: now},
				[
					{type: 'closeSequence', open},
					{type: 'sendToEntry', message: createFailed(open, event.failure)},
				],
			];
		}
	}
}

function isNext(
	record: OpenStage,
	attempt: StageOpen['attempt'],
	position: Position,
): boolean {
	return (
		record.open.attempt === attempt &&
		record.next === position &&
		!record.running
	);
}

function decideStep(record: OpenStage, input: StepInput): StageDecision {
	const {open, next} = record;
	return [
		{...record, running: true},
		[{type: 'runStep', open, position: next, input}],
	];
}

function decideStepped(
	record: OpenStage,
	output: StepOutput,
	now: Milliseconds,
): StageDecision {
	if (!record.running || output.position !== record.next) {
		return [record, []];
	}

	const {open} = record;
	const advanced: OpenStage = {
		...record,
		running: false,
		next: toPosition(record.next + 1),
		promptTokens: output.promptTokens ?? record.promptTokens,
	};
	return open.index + 1 < open.stages.length
		? [advanced, [createForward(open, output)]]
		: decideToken(advanced, output, now);
}

function createForward(open: StageOpen, output: StepOutput): StageCommand {
	const {request, attempt} = open;
	const index = open.index + 1;
	return {
		type: 'sendToStage',
		index,
		open,
		message: {
			type: 'activation',
			request,
			attempt,
			index,
			position: output.position,
			values: [...output.values],
		},
	};
}

function decideToken(
	record: OpenStage,
	output: StepOutput,
	now: Milliseconds,
): StageDecision {
	const {open} = record;
	const {position, token} = output;
	if (!token) {
		const failure = createFailure(
			'backendRefused',
			'The engine gave no token at the last layer.',
		);
		return decideOpenStage(record, {type: 'stepFailed', failure}, now);
	}

	const message: Token = {
		type: 'token',
		request: open.request,
		attempt: open.attempt,
		position,
		token: token.id,
		text: token.text,
		finish: findFinish(open, position, token.isEnd),
		promptTokens: record.promptTokens,
	};
	const toEntry: StageCommand = {type: 'sendToEntry', message};
	return message.finish
		? [record, [toEntry]]
		: [record, [toEntry, {type: 'sendToStage', index: 0, open, message}]];
}

function findFinish(
	open: StageOpen,
	position: Position,
	isEnd: boolean,
): Token['finish'] {
	if (isEnd) {
		return 'stop';
	}

	return position + 1 >= open.maxTokens ? 'length' : undefined;
}

function decideCancelled(
	record: StageRecord | undefined,
	{request, upTo}: Cancel,
	now: Milliseconds,
): StageDecision {
	const attempt = upTo ?? lastAttempt;
	if (record?.phase === 'open' && record.open.attempt > attempt) {
		return [record, []];
	}

	const ran = hasRun(record);
	const commands: StageCommand[] = [
		{
			type: 'sendToEntry',
			message: {type: 'cancelled', request, outcome: ran ? 'ran' : 'not-run'},
		},
	];
	if (record?.phase === 'open') {
		commands.unshift({type: 'closeSequence', open: record.open});
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
		? record.running || record.next > record.open.fromPosition
		: (record?.ran ?? false);
}

function createOpened(open: StageOpen): Message {
	const {request, attempt, index} = open;
	return {type: 'stageOpened', request, attempt, index};
}

function createFailed(open: StageOpen, failure: Failure): Message {
	return {
		type: 'failed',
		request: open.request,
		attempt: open.attempt,
		result: failure.result,
		outcome: failure.outcome,
		detail: failure.detail,
	};
}

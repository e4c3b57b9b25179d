/**
 * Steps of one stage. An input is accepted only if it belongs to the current
 * attempt and is for the next position of the stage. A stage without state may
 * catch up: its first step covers every position that its predecessor replays.
 */
import {type Position, toPosition} from '../protocol/ids.js';
import type {
	Activation,
	Failed,
	StageOpen,
	Token,
} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';
import {appendItem} from '../state/append-list.js';
import type {OpenStage, StageInput} from '../state/stage-record.js';
import {
	type CachedTokens,
	findCachedBefore,
	listCachedTokens,
} from './stage-cached.js';
import type {
	StageCommand,
	StageContext,
	StageDecision,
	StepInput,
	StepOutput,
} from './stage-protocol.js';

/** Memory per retained value, in bytes. */
export const bytesPerRetainedValue = 8;

type PlannedStep = {
	readonly first: Position;
	readonly position: Position;
	readonly input: StepInput;
};

/**
 * Starts a step for an input, or buffers the input while another step is
 * running.
 */
export function decideInput(
	record: OpenStage,
	input: StageInput,
): StageDecision {
	if (input.message.attempt !== record.open.attempt) {
		return [record, []];
	}

	if (record.runningStep) {
		return [
			{...record, pendingInput: selectLater(record.pendingInput, input)},
			[],
		];
	}

	const step = planStep(record, input);
	if (!step) {
		return [record, []];
	}

	const {open, sequence} = record;
	const {first, position} = step;
	return [
		{
			...record,
			runningStep: {first, position},
			...findCachedBefore(input),
			unacknowledged:
				input.type === 'token' && !isLastStage(open)
					? [...record.unacknowledged, input.message]
					: record.unacknowledged,
		},
		[{type: 'runStep', open, sequence, position, input: step.input}],
	];
}

export const isLastStage = ({index, stages}: StageOpen) =>
	index + 1 === stages.length;

const findPosition = (input: StageInput): number => {
	switch (input.type) {
		case 'run': {
			return input.message.given.length;
		}

		case 'activation': {
			return input.message.position;
		}

		case 'token': {
			return input.message.position + 1;
		}
	}
};

function selectLater(
	known: StageInput | undefined,
	input: StageInput,
): StageInput {
	return known && findPosition(known) >= findPosition(input) ? known : input;
}

function planStep(
	record: OpenStage,
	input: StageInput,
): PlannedStep | undefined {
	const {next} = record;
	const start = record.open.fromPosition;
	const position = toPosition(findPosition(input));
	switch (input.type) {
		case 'run': {
			const {prompt, given} = input.message;
			return next === start && position >= start
				? {first: start, position, input: {kind: 'prompt', prompt, given}}
				: undefined;
		}

		case 'activation': {
			return planActivation(record, input.message);
		}

		case 'token': {
			const {token} = input.message;
			return next === position && next > start
				? {first: next, position, input: {kind: 'token', token}}
				: undefined;
		}
	}
}

function planActivation(
	{next, open}: OpenStage,
	{first, position, values}: Activation,
): PlannedStep | undefined {
	if (next === open.fromPosition) {
		return first === next && position >= next
			? {first, position, input: {kind: 'values', values}}
			: undefined;
	}

	// A replay may include positions that this stage has already run; only the
	// last value is new.
	return position === next && first <= next
		? {
				first: next,
				position,
				input: {kind: 'values', values: values.slice(-1)},
			}
		: undefined;
}

/**
 * Sends the output of the running step to the next stage, or as a token to the
 * entry.
 */
export function decideStepped(
	record: OpenStage,
	output: StepOutput,
	context: StageContext,
): StageDecision {
	const {runningStep: running, open} = record;
	if (running?.position !== output.position) {
		return [record, []];
	}

	const cached = listCachedTokens(record, output);
	const advanced: OpenStage = {
		...record,
		runningStep: undefined,
		pendingInput: undefined,
		next: toPosition(running.position + 1),
		// The engine's count for the first step includes the tokens generated
		// before it.
		promptTokens:
			record.promptTokens ??
			(output.promptTokens === undefined
				? undefined
				: output.promptTokens - running.position),
	};
	const [sent, commands] = isLastStage(open)
		? decideToken(advanced, output, cached)
		: decideForward(advanced, {first: running.first, cached}, output, context);
	if (!record.pendingInput || sent?.phase !== 'open') {
		return [sent, commands];
	}

	const [next, more] = decideInput(sent, record.pendingInput);
	return [next, [...commands, ...more]];
}

function decideForward(
	record: OpenStage,
	{first, cached}: {readonly first: Position; readonly cached: CachedTokens},
	{position, values}: StepOutput,
	{mayRetain}: StageContext,
): StageDecision {
	const {open, retained, retainedBytes} = record;
	const {request, attempt} = open;
	const bytes = values.length * bytesPerRetainedValue;
	const isRetained = retained !== undefined && mayRetain(bytes);
	const sent: Activation = {
		type: 'activation',
		request,
		attempt,
		index: open.index + 1,
		first,
		position,
		values: [...values],
		...cached,
	};
	return [
		{
			...record,
			lastSent: sent,
			retained: isRetained ? appendItem(retained, values) : undefined,
			retainedBytes: isRetained ? retainedBytes + bytes : 0,
		},
		[{type: 'sendToStage', index: sent.index, open, message: sent}],
	];
}

function decideToken(
	record: OpenStage,
	output: StepOutput,
	cached: CachedTokens,
): StageDecision {
	const {open, promptTokens} = record;
	const {position, token} = output;
	if (!token) {
		const failure = createFailure(
			'backendRefused',
			'The engine returned no token at the last layer.',
		);
		return [
			record,
			[{type: 'sendToEntry', message: createStageFailed(open, failure)}],
		];
	}

	const sent: Token = {
		type: 'token',
		request: open.request,
		attempt: open.attempt,
		position,
		token: token.id,
		text: token.text,
		finish: findFinish(open, position, token.isEnd),
		promptTokens,
		...cached,
	};
	const commands: StageCommand[] = [{type: 'sendToEntry', message: sent}];
	if (!sent.finish) {
		commands.push({type: 'sendToStage', index: 0, open, message: sent});
	}

	return [
		{
			...record,
			lastSent: sent,
			unacknowledged: [...record.unacknowledged, sent],
		},
		commands,
	];
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

/** Creates the message that reports a stage's failure to the entry. */
export function createStageFailed(open: StageOpen, failure: Failure): Failed {
	return {
		type: 'failed',
		request: open.request,
		attempt: open.attempt,
		result: failure.result,
		outcome: failure.outcome,
		detail: failure.detail,
	};
}

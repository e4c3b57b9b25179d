/** The cached prompt tokens that the stages of a pipeline tell the entry. */
import {expect, test} from 'vitest';
import {
	toAttempt,
	toCustomerId,
	toHostId,
	toIncarnation,
	toModelName,
	toPosition,
	toRequestId,
} from '../../protocol/ids.js';
import {
	activationSchema,
	type Activation,
	type Message,
	type StageOpen,
	stageOpenSchema,
	type Token,
	tokenSchema,
} from '../../protocol/messages.js';
import type {StageRecord} from '../../state/stage-record.js';
import type {StageEvent} from '../stage-protocol.js';
import {decideStage} from '../stage.js';

const request = toRequestId('r');
const attempt = toAttempt(1);
const stages = [0, 1].map((index) => ({
	host: toHostId(`host-${index}`),
	incarnation: toIncarnation('1'),
	address: `127.0.0.1:${index + 1}`,
	fromLayer: index * 8,
	toLayer: index * 8 + 8,
}));
const context = {
	leaving: false,
	findMismatch: () => undefined,
	mayRetain: () => true,
};

const createOpen = (index: number): StageOpen => ({
	type: 'stageOpen',
	request,
	attempt,
	lineage: attempt,
	keeps: false,
	model: toModelName('model'),
	version: '1',
	customer: toCustomerId('c'),
	weight: 1,
	priority: 5,
	stages,
	index,
	fromPosition: toPosition(0),
	maxTokens: 10,
	prefix: [1, 2, 3],
	deadlineMs: 1000,
});

/** Runs the first step of a stage; returns what it sends to the next one or the entry. */
function runFirstStep(
	index: number,
	input: StageEvent,
	cachedTokens: number | undefined,
): Message | undefined {
	let record: StageRecord | undefined;
	let sent: Message | undefined;
	const events: StageEvent[] = [
		{type: 'opened', open: createOpen(index)},
		input,
		{
			type: 'stepped',
			output: {
				position: toPosition(0),
				values: [7],
				token: {id: 1, text: ' a', isEnd: false},
				promptTokens: 50,
				...(cachedTokens !== undefined && {cachedTokens}),
			},
		},
	];
	for (const event of events) {
		const [next, commands] = decideStage(record, event, 0, context);
		record = next;
		for (const command of commands) {
			sent = 'message' in command ? command.message : sent;
		}
	}

	return sent;
}

const runPipeline = (
	first: number | undefined,
	second: number | undefined,
): Token => {
	const run: StageEvent = {
		type: 'run',
		message: {type: 'stageRun', request, attempt, prompt: 'a', given: []},
	};
	const activation = runFirstStep(0, run, first) as Activation;
	const message = activationSchema.parse(activation);
	const token = runFirstStep(1, {type: 'activation', message}, second);
	return tokenSchema.parse(token);
};

test('the first token tells the cached tokens of each stage', () => {
	expect(runPipeline(32, 16).cached).toEqual([32, 16]);
	expect(runPipeline(0, 0).cached).toEqual([0, 0]);
});

// Guards against counts that are taken for those of another stage.
test('nothing is told if one stage does not know', () => {
	expect(runPipeline(undefined, 16).cached).toBeUndefined();
	expect(runPipeline(32, undefined).cached).toBeUndefined();
});

// Guards against a fleet that can't be upgraded one process at a time.
test('older builds leave out the fields, and newer ones read their messages', () => {
	const {prefix, ...older} = createOpen(0);
	expect(prefix).toBeDefined();
	expect(stageOpenSchema.parse(older).prefix).toBeUndefined();
});

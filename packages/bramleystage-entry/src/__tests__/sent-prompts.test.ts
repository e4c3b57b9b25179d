/** What the first token of an attempt tells of the prompts that its hosts keep. */
import {
	listPrefixBlocks,
	listStageBlocks,
	PrefixSavings,
	type Token,
	toAttempt,
	toHostId,
	toIncarnation,
	toModelName,
	toPosition,
	toRequestId,
} from 'bramleystage';
import {expect, test} from 'vitest';
import type {ModelRequest} from '../model-request.js';
import {SentPrompts} from '../sent-prompts.js';

const model = toModelName('model');
const prompt = 'Answer as the desk of a small hotel. '.repeat(40);
const stage = {
	host: toHostId('a'),
	incarnation: toIncarnation('1'),
	address: '127.0.0.1:1',
	fromLayer: 0,
	toLayer: 8,
};
const report = {epoch: 0, first: 0, blocks: [], removed: [], room: 10};
const blocks = listStageBlocks(listPrefixBlocks(model, '1', prompt), stage);

const createRequest = (name: string) =>
	({
		request: toRequestId(name),
		modelCells: {version: '1'},
		body: {model, prompt, maxTokens: 10},
	}) as unknown as ModelRequest;

const createToken = (name: string, cached?: number[]): Token => ({
	type: 'token',
	request: toRequestId(name),
	attempt: toAttempt(1),
	position: toPosition(0),
	token: 1,
	text: ' a',
	promptTokens: 100,
	...(cached && {cached}),
});

const createPrompts = () => {
	const savings = new PrefixSavings();
	savings.recordReport(stage, report, 0);
	const prompts = new SentPrompts(savings);
	const open = (name: string, stages = [stage]) =>
		prompts.openStage(createRequest(name), 0, {attempt: 1, stages}, 0);
	const estimate = () => savings.estimateCachedTokens(stage, blocks, 0);
	return {prompts, open, estimate};
};

test('a prompt is expected at its host from the first token on', () => {
	const {prompts, open, estimate} = createPrompts();
	const first = open('1');
	expect(first.prefix).toEqual(blocks);
	expect(estimate()).toBe(0);
	prompts.recordToken(createToken('1', [0]), 0);
	expect(estimate()).toBeGreaterThan(0);
	expect(open('2').work).toBeLessThan(first.work / 2);
});

// Guards against a preference that stays although the engine keeps nothing.
test('an estimate that finds nothing cached loses weight, one that holds keeps it', () => {
	const {prompts, open, estimate} = createPrompts();
	open('1');
	prompts.recordToken(createToken('1', [0]), 0);
	const trusted = estimate();
	open('2');
	prompts.recordToken(createToken('2', [96]), 0);
	expect(estimate()).toBeCloseTo(trusted);
	open('3');
	prompts.recordToken(createToken('3', [0]), 0);
	expect(estimate()).toBeLessThan(trusted * 0.75);
});

// Guards against distrust caused by stages or builds that tell nothing.
test('counts that are missing or of other stages are ignored', () => {
	const {prompts, open, estimate} = createPrompts();
	open('1');
	prompts.recordToken(createToken('1'), 0);
	const trusted = estimate();
	open('2');
	prompts.recordToken(createToken('2', [0, 0]), 0);
	expect(estimate()).toBe(trusted);
});

// Guards against knowledge from an attempt that another one has replaced.
test('a token of another attempt or of an ended request tells nothing', () => {
	const {prompts, open, estimate} = createPrompts();
	open('1');
	prompts.recordToken({...createToken('1'), attempt: toAttempt(2)}, 0);
	prompts.remove(toRequestId('1'));
	prompts.recordToken(createToken('1'), 0);
	expect(estimate()).toBe(0);
});

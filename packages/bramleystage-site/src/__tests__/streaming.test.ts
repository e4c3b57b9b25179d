/** Details of streamed and whole answers that OpenAI clients rely on. */
import {createLogger} from 'bramleystage';
import {formatChatPrompt} from 'bramleystage-entry';
import {computeReference, encodeText} from 'bramleystage-stand-ins';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {deployments} from '../deployments.js';
import {type Site, startSite} from '../site.js';
import {
	readStreamedText,
	sendModelRequest,
	splitEvents,
	type StreamEvent,
} from './callers.js';

const maxTokens = 8;
const messages = [{role: 'user', content: 'Which tower is the oldest'}];
const prompt = formatChatPrompt(messages);
let site: Site;

beforeAll(async () => {
	site = await startSite(deployments.kaleli, createLogger('error', {}));
});

afterAll(async () => {
	await site.stop();
});

const computeAnswer = (text: string) =>
	computeReference(text, site.deployment.layers, maxTokens);

async function readEvents(
	path: 'chat/completions' | 'completions',
	body: Record<string, unknown>,
): Promise<{events: StreamEvent[]; last: string | undefined}> {
	const answer = await sendModelRequest(site, 0, path, {
		max_tokens: maxTokens,
		stream: true,
		...body,
	});
	expect(answer.headers.get('content-type')).toContain('text/event-stream');
	const data = splitEvents(await answer.text());
	const last = data.pop();
	return {events: data.map((text) => JSON.parse(text) as StreamEvent), last};
}

test('a streamed chat names the role first and the reason last', async () => {
	const {events, last} = await readEvents('chat/completions', {messages});
	expect(last).toBe('[DONE]');
	expect(events[0]?.choices[0]?.delta).toEqual({
		role: 'assistant',
		content: '',
	});
	const reasons = events.map(({choices}) => choices[0]?.finish_reason);
	const reference = computeAnswer(prompt);
	expect(reasons.slice(0, -1).every((reason) => reason === null)).toBe(true);
	expect(reasons.at(-1)).toBe(reference.finish);
	expect(events.at(-1)?.choices[0]?.delta).toEqual({});
	expect(events).toHaveLength(reference.tokens.length + 2);
	expect(new Set(events.map(({id}) => id)).size).toBe(1);
	expect(events.every(({object}) => object === 'chat.completion.chunk')).toBe(
		true,
	);
	expect(events.every((event) => !('usage' in event))).toBe(true);
});

test('usage comes in an event of its own when asked for', async () => {
	const {events, last} = await readEvents('chat/completions', {
		messages,
		stream_options: {include_usage: true},
	});
	expect(last).toBe('[DONE]');
	const usage = events.at(-1);
	const tokens = computeAnswer(prompt).tokens.length;
	const promptTokens = encodeText(prompt).length;
	expect(usage?.choices).toEqual([]);
	expect(usage?.usage).toEqual({
		prompt_tokens: promptTokens,
		completion_tokens: tokens,
		total_tokens: promptTokens + tokens,
	});
	expect(events.slice(0, -1).every((event) => event.usage === null)).toBe(true);
});

test('a streamed completion has text and a reason at its end', async () => {
	const {events, last} = await readEvents('completions', {prompt: 'One two'});
	expect(last).toBe('[DONE]');
	expect(events.every(({object}) => object === 'text_completion')).toBe(true);
	const reference = computeAnswer('One two');
	expect(events.map(({choices}) => choices[0]?.text).join('')).toBe(
		reference.text,
	);
	expect(events.at(-1)?.choices[0]?.finish_reason).toBe(reference.finish);
});

test('a whole answer has usage and reason', async () => {
	const answer = await sendModelRequest(site, 1, 'chat/completions', {
		messages,
		max_tokens: maxTokens,
	});
	const reference = computeAnswer(prompt);
	expect(await answer.json()).toMatchObject({
		object: 'chat.completion',
		choices: [
			{
				message: {role: 'assistant', content: reference.text},
				finish_reason: reference.finish,
			},
		],
		usage: {completion_tokens: reference.tokens.length},
	});
});

test('the default count of tokens and text parts are understood', async () => {
	const content = [
		{type: 'text', text: 'Which tower '},
		{type: 'text', text: 'is the oldest'},
	];
	const answer = await sendModelRequest(site, 0, 'chat/completions', {
		messages: [{role: 'user', content}],
		max_completion_tokens: maxTokens,
		stream: true,
	});
	expect(readStreamedText(await answer.text())).toBe(
		computeAnswer(prompt).text,
	);
});

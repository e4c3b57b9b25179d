/** Details of streamed and complete responses that OpenAI clients rely on. */
import {createLogger} from 'bramleystage';
import {formatChatPrompt} from 'bramleystage-entry';
import {computeReferenceCompletion, encodeText} from 'bramleystage-stand-ins';
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

/** Computes the expected completion of a prompt. */
const computeExpected = (text: string) =>
	computeReferenceCompletion(text, site.deployment.layers, maxTokens);

/** Sends a streamed request; returns its parsed events without the last one, and the data of the last one. */
async function readEvents(
	path: 'chat/completions' | 'completions',
	body: Record<string, unknown>,
): Promise<{events: StreamEvent[]; last: string | undefined}> {
	const response = await sendModelRequest(site, 0, path, {
		max_tokens: maxTokens,
		stream: true,
		...body,
	});
	expect(response.headers.get('content-type')).toContain('text/event-stream');
	const data = splitEvents(await response.text());
	const last = data.pop();
	return {events: data.map((text) => JSON.parse(text) as StreamEvent), last};
}

test('a streamed chat has the role in its first event and the finish reason in its last', async () => {
	const {events, last} = await readEvents('chat/completions', {messages});
	expect(last).toBe('[DONE]');
	expect(events[0]?.choices[0]?.delta).toEqual({
		role: 'assistant',
		content: '',
	});
	const reasons = events.map(({choices}) => choices[0]?.finish_reason);
	const expected = computeExpected(prompt);
	expect(reasons.slice(0, -1).every((reason) => reason === null)).toBe(true);
	expect(reasons.at(-1)).toBe(expected.finish);
	expect(events.at(-1)?.choices[0]?.delta).toEqual({});
	expect(events).toHaveLength(expected.tokens.length + 2);
	expect(new Set(events.map(({id}) => id)).size).toBe(1);
	expect(events.every(({object}) => object === 'chat.completion.chunk')).toBe(
		true,
	);
	expect(events.every((event) => !('usage' in event))).toBe(true);
});

test('token usage is sent in a separate event if requested', async () => {
	const {events, last} = await readEvents('chat/completions', {
		messages,
		stream_options: {include_usage: true},
	});
	expect(last).toBe('[DONE]');
	const usage = events.at(-1);
	const tokens = computeExpected(prompt).tokens.length;
	const promptTokens = encodeText(prompt).length;
	expect(usage?.choices).toEqual([]);
	expect(usage?.usage).toEqual({
		prompt_tokens: promptTokens,
		completion_tokens: tokens,
		total_tokens: promptTokens + tokens,
	});
	expect(events.slice(0, -1).every((event) => event.usage === null)).toBe(true);
});

test('a streamed completion has the text and, in its last event, the finish reason', async () => {
	const {events, last} = await readEvents('completions', {prompt: 'One two'});
	expect(last).toBe('[DONE]');
	expect(events.every(({object}) => object === 'text_completion')).toBe(true);
	const expected = computeExpected('One two');
	expect(events.map(({choices}) => choices[0]?.text).join('')).toBe(
		expected.text,
	);
	expect(events.at(-1)?.choices[0]?.finish_reason).toBe(expected.finish);
});

test('a complete response has the token usage and the finish reason', async () => {
	const response = await sendModelRequest(site, 1, 'chat/completions', {
		messages,
		max_tokens: maxTokens,
	});
	const expected = computeExpected(prompt);
	expect(await response.json()).toMatchObject({
		object: 'chat.completion',
		choices: [
			{
				message: {role: 'assistant', content: expected.text},
				finish_reason: expected.finish,
			},
		],
		usage: {completion_tokens: expected.tokens.length},
	});
});

test('max_completion_tokens and content in text parts are accepted', async () => {
	const content = [
		{type: 'text', text: 'Which tower '},
		{type: 'text', text: 'is the oldest'},
	];
	const response = await sendModelRequest(site, 0, 'chat/completions', {
		messages: [{role: 'user', content}],
		max_completion_tokens: maxTokens,
		stream: true,
	});
	expect(readStreamedText(await response.text())).toBe(
		computeExpected(prompt).text,
	);
});

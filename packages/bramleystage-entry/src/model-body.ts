/** Request and response bodies of the OpenAI-compatible paths. */
import {
	createFailure,
	type Failure,
	type ModelName,
	modelNameSchema,
	parseJson,
	type RequestId,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';

const maxTokensLimit = 1_000_000;
const defaultMaxTokens = 256;
const maxTokensSchema = z.int().min(1).max(maxTokensLimit).nullish();
const commonFields = {
	model: modelNameSchema,
	max_tokens: maxTokensSchema,
	max_completion_tokens: maxTokensSchema,
	stream: z.boolean().nullish(),
	n: z.literal(1).nullish(),
	temperature: z.number().min(0).max(2).nullish(),
	top_p: z.number().min(0).max(1).nullish(),
	stream_options: z
		.object({include_usage: z.boolean().nullish()})
		.loose()
		.nullish(),
};
const contentSchema = z.union([
	z.string(),
	z.array(z.object({type: z.literal('text'), text: z.string()})),
]);
const messagesSchema = z
	.array(z.object({role: z.string().max(50), content: contentSchema}).loose())
	.min(1);
const chatSchema = z
	.object({...commonFields, messages: messagesSchema})
	.loose();
const completionSchema = z
	.object({...commonFields, prompt: z.string().min(1)})
	.loose();

export type ChatMessages = z.infer<typeof messagesSchema>;

/** Parsed body of a chat or text completion request. */
export type ModelBody = {
	readonly kind: 'chat' | 'completion';
	readonly model: ModelName;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly stream: boolean;
	readonly includeUsage: boolean;
};

/** Formats chat messages as the prompt of the model. */
export const formatChatPrompt = (messages: ChatMessages) =>
	messages
		.map(({role, content}) => `${role}: ${formatContent(content)}`)
		.join('\n');

function formatContent(content: z.infer<typeof contentSchema>): string {
	return typeof content === 'string'
		? content
		: content.map(({text}) => text).join('');
}

/**
 * Parses a body; a failure names the first invalid field and the rule that it
 * violates.
 */
export function parseModelBody(
	kind: ModelBody['kind'],
	text: string,
): Result<ModelBody, Failure> {
	const value = parseJson(text);
	if (value === undefined) {
		return err(createFailure('badJson', 'The body is not valid JSON.'));
	}

	const schema = kind === 'chat' ? chatSchema : completionSchema;
	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		const issue = parsed.error.issues[0];
		const path = issue?.path.join('.') ?? '';
		return err(createFailure('badRequest', `${path}: ${issue?.message}`));
	}

	const body = parsed.data;
	const prompt =
		'messages' in body
			? formatChatPrompt(body.messages as ChatMessages)
			: body.prompt;
	return ok({
		kind,
		model: body.model,
		prompt,
		maxTokens:
			body.max_completion_tokens ?? body.max_tokens ?? defaultMaxTokens,
		stream: body.stream ?? false,
		includeUsage: body.stream_options?.include_usage ?? false,
	});
}

/** Formats a completion id with the prefix that clients expect for its kind. */
export const formatCompletionId = (
	kind: ModelBody['kind'],
	request: RequestId,
) => `${kind === 'chat' ? 'chatcmpl' : 'cmpl'}-${request}`;

/** Data that all parts of the response to one request share. */
export type CompletionMetadata = {
	readonly id: string;
	readonly created: number;
	readonly body: ModelBody;
};

export type Usage = {
	readonly promptTokens: number;
	readonly completionTokens: number;
};

const formatUsage = ({promptTokens, completionTokens}: Usage) => ({
	prompt_tokens: promptTokens,
	completion_tokens: completionTokens,
	total_tokens: promptTokens + completionTokens,
});

/** Builds the response body of a request without streaming. */
export function buildCompletion(
	{id, created, body}: CompletionMetadata,
	text: string,
	finishReason: string,
	usage: Usage,
): Record<string, unknown> {
	const {kind, model} = body;
	const choice =
		kind === 'chat'
			? {message: {role: 'assistant', content: text}}
			: {text, logprobs: null};
	return {
		id,
		object: kind === 'chat' ? 'chat.completion' : 'text_completion',
		created,
		model,
		choices: [{index: 0, ...choice, finish_reason: finishReason}],
		usage: formatUsage(usage),
	};
}

/** Content of one event of a streamed response. */
export type ChunkContent =
	| {readonly type: 'role'}
	| {readonly type: 'text'; readonly text: string}
	| {readonly type: 'finish'; readonly reason: string};

/** Builds one event of a streamed response. */
export function buildChunk(
	{id, created, body}: CompletionMetadata,
	content: ChunkContent,
): Record<string, unknown> {
	const {kind, model, includeUsage} = body;
	const choice =
		kind === 'chat'
			? {delta: buildDelta(content)}
			: {text: content.type === 'text' ? content.text : '', logprobs: null};
	return {
		id,
		object: kind === 'chat' ? 'chat.completion.chunk' : 'text_completion',
		created,
		model,
		choices: [
			{
				index: 0,
				...choice,
				finish_reason: content.type === 'finish' ? content.reason : null,
			},
		],
		// If usage is requested, it is null in every event but the last.
		...(includeUsage ? {usage: null} : {}),
	};
}

function buildDelta(content: ChunkContent): Record<string, unknown> {
	switch (content.type) {
		case 'role': {
			return {role: 'assistant', content: ''};
		}

		case 'text': {
			return {content: content.text};
		}

		case 'finish': {
			return {};
		}
	}
}

/** Builds the last event of a streamed response, which states the usage. */
export function buildUsageChunk(
	{id, created, body}: CompletionMetadata,
	usage: Usage,
): Record<string, unknown> {
	return {
		id,
		object: body.kind === 'chat' ? 'chat.completion.chunk' : 'text_completion',
		created,
		model: body.model,
		choices: [],
		usage: formatUsage(usage),
	};
}

/** Bodies of the OpenAI-compatible paths, and the answers to them. */
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
const maxTokens = z.int().min(1).max(maxTokensLimit).nullish();
const common = {
	model: modelNameSchema,
	max_tokens: maxTokens,
	max_completion_tokens: maxTokens,
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
const chatSchema = z.object({...common, messages: messagesSchema}).loose();
const completionSchema = z
	.object({...common, prompt: z.string().min(1)})
	.loose();

export type ChatMessages = z.infer<typeof messagesSchema>;

/** A model request, whichever path it came by. */
export type ModelBody = {
	readonly kind: 'chat' | 'completion';
	readonly model: ModelName;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly stream: boolean;
	readonly includeUsage: boolean;
};

/** Formats chat messages as the prompt that the model reads. */
export const formatChatPrompt = (messages: ChatMessages) =>
	messages
		.map(({role, content}) => `${role}: ${formatContent(content)}`)
		.join('\n');

function formatContent(content: z.infer<typeof contentSchema>): string {
	return typeof content === 'string'
		? content
		: content.map(({text}) => text).join('');
}

/** Parses a body; names the field and the rule that it breaks. */
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

/** Formats a request's id as clients expect it for the kind of answer. */
export const formatAnswerId = (kind: ModelBody['kind'], request: RequestId) =>
	`${kind === 'chat' ? 'chatcmpl' : 'cmpl'}-${request}`;

/** What the answers to one request have in common. */
export type AnswerHead = {
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

/** Builds a whole answer. */
export function buildAnswer(
	{id, created, body}: AnswerHead,
	text: string,
	finish: string,
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
		choices: [{index: 0, ...choice, finish_reason: finish}],
		usage: formatUsage(usage),
	};
}

/** What one event of a streamed answer adds. */
export type ChunkPart =
	| {readonly type: 'role'}
	| {readonly type: 'text'; readonly text: string}
	| {readonly type: 'finish'; readonly reason: string};

/** Builds one event of a streamed answer. */
export function buildChunk(
	{id, created, body}: AnswerHead,
	part: ChunkPart,
): Record<string, unknown> {
	const {kind, model, includeUsage} = body;
	const choice =
		kind === 'chat'
			? {delta: buildDelta(part)}
			: {text: part.type === 'text' ? part.text : '', logprobs: null};
	return {
		id,
		object: kind === 'chat' ? 'chat.completion.chunk' : 'text_completion',
		created,
		model,
		choices: [
			{
				index: 0,
				...choice,
				finish_reason: part.type === 'finish' ? part.reason : null,
			},
		],
		// With usage asked for, every event but the last says that it has none.
		...(includeUsage ? {usage: null} : {}),
	};
}

function buildDelta(part: ChunkPart): Record<string, unknown> {
	switch (part.type) {
		case 'role': {
			return {role: 'assistant', content: ''};
		}

		case 'text': {
			return {content: part.text};
		}

		case 'finish': {
			return {};
		}
	}
}

/** Builds the event that gives the usage of a streamed answer. */
export function buildUsageChunk(
	{id, created, body}: AnswerHead,
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

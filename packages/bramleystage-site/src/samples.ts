/** One sample request of each kind, each checked against what it should give. */
import {sendHttp} from 'bramleystage';
import {formatChatPrompt, type RunningEntry} from 'bramleystage-entry';
import {computeReference} from 'bramleystage-stand-ins';
import {type Deployment, formatSampleKey} from './deployments.js';

/** What one sample gave. */
export type SampleResult = {
	readonly name: string;
	readonly isRight: boolean;
	readonly answer: string;
	readonly pipeline: string;
};

const maxTokens = 24;
const sampleTimeoutMs = 20_000;

/** Sends the samples in turn through the given entry address. */
export async function runSamples(
	deployment: Deployment,
	entry: Pick<RunningEntry, 'address'> & Partial<Pick<RunningEntry, 'records'>>,
): Promise<SampleResult[]> {
	let pipeline = '';
	const watching = entry.records?.subscribe((record) => {
		pipeline = record.pipeline;
	});
	const samples = [
		['chat, whole', checkChat],
		['chat, streamed', checkStream],
		['completion', checkCompletion],
		['booking', checkBooking],
	] as const;
	const results: SampleResult[] = [];
	for (const [name, check] of samples) {
		// eslint-disable-next-line no-await-in-loop -- the pipeline is that of the last one
		const {isRight, answer} = await check(deployment, entry.address);
		results.push({name, isRight, answer, pipeline});
	}

	watching?.unsubscribe();
	return results;
}

type Check = (
	deployment: Deployment,
	address: string,
) => Promise<Pick<SampleResult, 'isRight' | 'answer'>>;

const createMessages = (deployment: Deployment) => [
	{role: 'user', content: deployment.samplePrompt},
];

const checkChat: Check = async (deployment, address) => {
	const messages = createMessages(deployment);
	const text = await sendPost(deployment, address, '/v1/chat/completions', {
		model: deployment.model,
		messages,
		max_tokens: maxTokens,
	});
	const answer = parseText(text, (choice) => choice.message?.content);
	return compareAnswer(deployment, formatChatPrompt(messages), answer);
};

const checkStream: Check = async (deployment, address) => {
	const messages = createMessages(deployment);
	const text = await sendPost(deployment, address, '/v1/chat/completions', {
		model: deployment.model,
		messages,
		max_tokens: maxTokens,
		stream: true,
	});
	const answer = text
		.split('\n\n')
		.filter((event) => event.startsWith('data: {'))
		.map((event) =>
			parseText(
				event.slice('data: '.length),
				(choice) => choice.delta?.content,
			),
		)
		.join('');
	return compareAnswer(deployment, formatChatPrompt(messages), answer);
};

const checkCompletion: Check = async (deployment, address) => {
	const text = await sendPost(deployment, address, '/v1/completions', {
		model: deployment.model,
		prompt: deployment.samplePrompt,
		max_tokens: maxTokens,
	});
	const answer = parseText(text, (choice) => choice.text);
	return compareAnswer(deployment, deployment.samplePrompt, answer);
};

const checkBooking: Check = async (deployment, address) => {
	const reference = `sample-${deployment.name}-${Date.now()}`;
	const path = `/v1/services/${deployment.service}/bookings`;
	const answer = await sendPost(deployment, address, path, {reference});
	const booking = JSON.parse(answer) as {reference?: string; runs?: number};
	const isRight = booking.reference === reference && booking.runs === 1;
	return {isRight, answer};
};

function compareAnswer(
	deployment: Deployment,
	prompt: string,
	answer: string,
): {isRight: boolean; answer: string} {
	const reference = computeReference(prompt, deployment.layers, maxTokens);
	return {isRight: answer === reference.text, answer};
}

type Choice = {
	readonly text?: string;
	readonly message?: {readonly content: string};
	readonly delta?: {readonly content?: string};
};

function parseText(
	json: string,
	select: (choice: Choice) => string | undefined,
): string {
	const {choices = []} = JSON.parse(json) as {choices?: Choice[]};
	return choices.map((choice) => select(choice) ?? '').join('');
}

async function sendPost(
	deployment: Deployment,
	address: string,
	path: string,
	body: Record<string, unknown>,
): Promise<string> {
	const [customer = ''] = deployment.customers;
	const answer = await sendHttp({
		method: 'POST',
		url: `http://${address}${path}`,
		headers: {
			authorization: `Bearer ${formatSampleKey(customer)}`,
			'content-type': 'application/json',
		},
		body: JSON.stringify(body),
		timeoutMs: sampleTimeoutMs,
	});
	return answer.match(
		({body: text}) => text.toString(),
		(error) => JSON.stringify({error: error.detail}),
	);
}

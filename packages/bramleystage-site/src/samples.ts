/** Sends one sample request of each kind and compares each response with the expected one. */
import {sendHttpRequest} from 'bramleystage';
import {formatChatPrompt, type RunningEntry} from 'bramleystage-entry';
import {computeReferenceCompletion} from 'bramleystage-stand-ins';
import {type Deployment, formatSampleApiKey} from './deployments.js';

/** Outcome of one sample request. */
export type SampleResult = {
	readonly name: string;
	/** True if the response is the expected one. */
	readonly isRight: boolean;
	/** Generated text, or the body of the booking's response. */
	readonly answer: string;
	/** Hosts and layers that served the request; empty if the entry's request records are not available. */
	readonly pipeline: string;
};

const maxTokens = 24;
const sampleTimeoutMs = 20_000;

/** Sends the samples one after another to an entry. */
export async function runSamples(
	deployment: Deployment,
	entry: Pick<RunningEntry, 'address'> & Partial<Pick<RunningEntry, 'records'>>,
): Promise<SampleResult[]> {
	let pipeline = '';
	const subscription = entry.records?.subscribe((record) => {
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
		// eslint-disable-next-line no-await-in-loop -- `pipeline` is that of the latest request
		const {isRight, answer} = await check(deployment, entry.address);
		results.push({name, isRight, answer, pipeline});
	}

	subscription?.unsubscribe();
	return results;
}

type SampleCheck = (
	deployment: Deployment,
	address: string,
) => Promise<Pick<SampleResult, 'isRight' | 'answer'>>;

const createMessages = (deployment: Deployment) => [
	{role: 'user', content: deployment.samplePrompt},
];

const checkChat: SampleCheck = async (deployment, address) => {
	const messages = createMessages(deployment);
	const text = await sendPost(deployment, address, '/v1/chat/completions', {
		model: deployment.model,
		messages,
		max_tokens: maxTokens,
	});
	const answer = parseText(text, (choice) => choice.message?.content);
	return checkAnswer(deployment, formatChatPrompt(messages), answer);
};

const checkStream: SampleCheck = async (deployment, address) => {
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
	return checkAnswer(deployment, formatChatPrompt(messages), answer);
};

const checkCompletion: SampleCheck = async (deployment, address) => {
	const text = await sendPost(deployment, address, '/v1/completions', {
		model: deployment.model,
		prompt: deployment.samplePrompt,
		max_tokens: maxTokens,
	});
	const answer = parseText(text, (choice) => choice.text);
	return checkAnswer(deployment, deployment.samplePrompt, answer);
};

const checkBooking: SampleCheck = async (deployment, address) => {
	const bookingReference = `sample-${deployment.name}-${Date.now()}`;
	const path = `/v1/services/${deployment.service}/bookings`;
	const answer = await sendPost(deployment, address, path, {
		reference: bookingReference,
	});
	const booking = JSON.parse(answer) as {reference?: string; runs?: number};
	const isRight = booking.reference === bookingReference && booking.runs === 1;
	return {isRight, answer};
};

/** Compares a generated text with the reference implementation's text for the prompt. */
function checkAnswer(
	deployment: Deployment,
	prompt: string,
	answer: string,
): {isRight: boolean; answer: string} {
	const expected = computeReferenceCompletion(
		prompt,
		deployment.layers,
		maxTokens,
	);
	return {isRight: answer === expected.text, answer};
}

type Choice = {
	readonly text?: string;
	readonly message?: {readonly content: string};
	readonly delta?: {readonly content?: string};
};

/** Joins the text that `select` returns for each choice of a response or stream event. */
function parseText(
	json: string,
	select: (choice: Choice) => string | undefined,
): string {
	const {choices = []} = JSON.parse(json) as {choices?: Choice[]};
	return choices.map((choice) => select(choice) ?? '').join('');
}

/** Sends a POST request as the first customer; returns the body, or the error as JSON. */
async function sendPost(
	deployment: Deployment,
	address: string,
	path: string,
	body: Record<string, unknown>,
): Promise<string> {
	const [customer = ''] = deployment.customers;
	const response = await sendHttpRequest({
		method: 'POST',
		url: `http://${address}${path}`,
		headers: {
			authorization: `Bearer ${formatSampleApiKey(customer)}`,
			'content-type': 'application/json',
		},
		body: JSON.stringify(body),
		timeoutMs: sampleTimeoutMs,
	});
	return response.match(
		({body: text}) => text.toString(),
		(error) => JSON.stringify({error: error.detail}),
	);
}

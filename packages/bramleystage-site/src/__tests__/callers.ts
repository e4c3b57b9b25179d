/** Test helpers that send model requests and parse the responses as an OpenAI client does. */
import {formatSampleApiKey} from '../deployments.js';
import type {Site} from '../site.js';

/** The fields of a stream event that the tests check. */
export type StreamEvent = {
	readonly id: string;
	readonly object: string;
	readonly choices: ReadonlyArray<{
		readonly text?: string;
		readonly delta?: {readonly role?: string; readonly content?: string};
		readonly finish_reason: string | null;
	}>;
	readonly usage?: Record<string, number> | null;
};

/** Sends a model request to the entry with this index, as the first customer. */
export async function sendModelRequest(
	site: Site,
	entryIndex: number,
	path: 'chat/completions' | 'completions',
	{signal, ...body}: Record<string, unknown> & {signal?: AbortSignal},
): Promise<Response> {
	const {deployment, entries} = site;
	return fetch(`http://${entries[entryIndex]?.address}/v1/${path}`, {
		method: 'POST',
		headers: {
			authorization: `Bearer ${formatSampleApiKey(deployment.customers[0] ?? '')}`,
		},
		body: JSON.stringify({model: deployment.model, ...body}),
		signal,
	});
}

/** Returns the data of each event of an event stream. */
export const splitEvents = (text: string) =>
	text
		.split('\n\n')
		.filter((event) => event !== '')
		.map((event) => event.replace(/^data: /v, ''));

/** Joins the text of a streamed response; throws if the stream does not end with `[DONE]`. */
export function readStreamedText(text: string): string {
	const events = splitEvents(text);
	if (events.pop() !== '[DONE]') {
		throw new Error(`The stream did not end with [DONE]: ${text.slice(-300)}`);
	}

	return events
		.flatMap((event) => (JSON.parse(event) as StreamEvent).choices)
		.map((choice) => choice.text ?? choice.delta?.content ?? '')
		.join('');
}

/** Callers for tests: model requests whose answers are read as clients do. */
import {formatSampleKey} from '../deployments.js';
import type {Site} from '../site.js';

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

/** Sends a model request through one of the site's entries. */
export async function sendModelRequest(
	site: Site,
	entry: number,
	path: 'chat/completions' | 'completions',
	{signal, ...body}: Record<string, unknown> & {signal?: AbortSignal},
): Promise<Response> {
	const {deployment, entries} = site;
	return fetch(`http://${entries[entry]?.address}/v1/${path}`, {
		method: 'POST',
		headers: {
			authorization: `Bearer ${formatSampleKey(deployment.customers[0] ?? '')}`,
		},
		body: JSON.stringify({model: deployment.model, ...body}),
		signal,
	});
}

/** Splits an event stream into the data of its events. */
export const splitEvents = (text: string) =>
	text
		.split('\n\n')
		.filter((event) => event !== '')
		.map((event) => event.replace(/^data: /v, ''));

/** Reads the text of a streamed answer; its last event must end it. */
export function readStreamedText(text: string): string {
	const events = splitEvents(text);
	if (events.pop() !== '[DONE]') {
		throw new Error(`The stream did not end: ${text.slice(-300)}`);
	}

	return events
		.flatMap((event) => (JSON.parse(event) as StreamEvent).choices)
		.map((choice) => choice.text ?? choice.delta?.content ?? '')
		.join('');
}

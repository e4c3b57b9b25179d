/** Reads the changes of the engine's prefix cache in its HTTP interface. */
import type http from 'node:http';
import {parseJson, sendHttpRequest} from 'bramleystage';
import * as z from 'zod';

export const cacheEventsSchema = z.object({
	next: z.int().min(0),
	events: z.array(
		z.object({
			/** Numbered over all events, so that a lost one leaves a gap. */
			number: z.int().min(0),
			type: z.enum(['stored', 'removed']),
			tokens: z.array(z.int()).optional(),
		}),
	),
});
export type CacheEvents = z.infer<typeof cacheEventsSchema>;
export type CacheEvent = CacheEvents['events'][number];

const timeoutMs = 1000;
/** Bytes of an answer: 10,000 events of 16 tokens are some 2 MB. */
const maxBodyBytes = 4 * 1024 * 1024;

/**
 * Reads the changes of an engine's prefix cache from a number on; undefined if
 * the engine can't be reached or publishes none.
 */
export async function readCacheEvents(
	url: string,
	from: number,
	connections: http.Agent,
): Promise<CacheEvents | undefined> {
	const response = await sendHttpRequest({
		method: 'GET',
		url: `${url}/v1/cache-events?from=${from}`,
		agent: connections,
		timeoutMs,
		maxBodyBytes,
	});
	return response.isOk() && response.value.status === 200
		? cacheEventsSchema.safeParse(parseJson(response.value.body.toString()))
				.data
		: undefined;
}

/**
 * The platform's services as the system uses them: the append-only log, the
 * host list and the weight store, each over HTTP. docs/STAND-INS.md describes
 * the same interface.
 */
import {err, ok, type Result} from 'neverthrow';
import {Observable} from 'rxjs';
import * as z from 'zod';
import {
	dataCentreIdSchema,
	hostIdSchema,
	type LogOffset,
	logOffsetSchema,
	toLogOffset,
} from '../protocol/ids.js';
import type {ListedHost} from '../state/hosts.js';
import {sendHttp} from './http-client.js';
import {parseJson} from './http-server.js';
import {waitFor} from './session-pool.js';

const appendedSchema = z.object({offset: logOffsetSchema});
const recordsSchema = z.object({
	/** Offset of the oldest record still kept. */
	first: logOffsetSchema,
	next: logOffsetSchema,
	records: z.array(z.object({offset: logOffsetSchema, value: z.unknown()})),
});
const hostsSchema = z.object({
	hosts: z.array(
		z.object({
			host: hostIdSchema,
			role: z.enum(['entry', 'agent']),
			dataCentre: dataCentreIdSchema,
			address: z.string(),
			state: z.enum(['live', 'leaving']),
		}),
	),
});

export type LogRecords = z.infer<typeof recordsSchema>;

/** Why the platform gave no usable answer; `sent` as for HTTP errors. */
export type PlatformError = {
	readonly sent: boolean;
	readonly status: number | undefined;
	readonly detail: string;
};

/** What a follower of a stream sees. */
export type LogEvent =
	| {readonly type: 'records'; readonly batch: LogRecords}
	| {readonly type: 'failed'; readonly error: PlatformError};

/** Records that one read gives at most; fewer mean the end was reached. */
export const maxReadRecords = 1000;

const requestTimeoutMs = 2000;
const longPollMs = 10_000;
const retryMs = 200;

export class PlatformClient {
	constructor(private readonly address: string) {}

	/** Appends one record to a stream; gives its offset. */
	async append(
		stream: string,
		value: unknown,
	): Promise<Result<LogOffset, PlatformError>> {
		const answer = await this.#send(
			'POST',
			`/v1/logs/${stream}/records`,
			appendedSchema,
			{body: JSON.stringify({value})},
		);
		return answer.map(({offset}) => offset);
	}

	/** Reads records from an offset on; waits up to `waitMs` for the first. */
	async readRecords(
		stream: string,
		from: LogOffset,
		waitMs = 0,
		more: {signal?: AbortSignal; timeoutMs?: number} = {},
	): Promise<Result<LogRecords, PlatformError>> {
		return this.#send(
			'GET',
			`/v1/logs/${stream}/records?from=${from}&wait_ms=${waitMs}`,
			recordsSchema,
			{timeoutMs: waitMs + requestTimeoutMs, ...more},
		);
	}

	/** Follows a stream by long polls until unsubscribed. */
	followRecords(stream: string, from: LogOffset): Observable<LogEvent> {
		return new Observable((subscriber) => {
			const abort = new AbortController();
			const follow = async () => {
				let next: number = from;
				/* eslint-disable no-await-in-loop -- each poll starts where the last ended */
				while (!subscriber.closed) {
					const batch = await this.readRecords(
						stream,
						toLogOffset(next),
						longPollMs,
						{signal: abort.signal},
					);
					if (batch.isErr()) {
						subscriber.next({type: 'failed', error: batch.error});
						await waitFor(retryMs);
						continue;
					}

					subscriber.next({type: 'records', batch: batch.value});
					next = batch.value.next;
				}
				/* eslint-enable no-await-in-loop */
			};

			void follow();
			return () => {
				abort.abort();
			};
		});
	}

	async listHosts(): Promise<Result<ListedHost[], PlatformError>> {
		const answer = await this.#send('GET', '/v1/hosts', hostsSchema);
		return answer.map(({hosts}) => hosts);
	}

	async #send<Schema extends z.ZodType>(
		method: string,
		path: string,
		schema: Schema,
		more: {body?: string; timeoutMs?: number; signal?: AbortSignal} = {},
	): Promise<Result<z.infer<Schema>, PlatformError>> {
		const answer = await sendHttp({
			method,
			url: `http://${this.address}${path}`,
			headers: {'content-type': 'application/json'},
			timeoutMs: requestTimeoutMs,
			...more,
		});
		if (answer.isErr()) {
			const {sent, detail} = answer.error;
			return err({sent, status: undefined, detail});
		}

		const {status} = answer.value;
		const text = answer.value.body.toString();
		const parsed = schema.safeParse(parseJson(text));
		return status === 200 && parsed.success
			? ok(parsed.data)
			: err({sent: true, status, detail: text.slice(0, 200)});
	}
}

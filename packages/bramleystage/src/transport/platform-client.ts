/**
 * HTTP client of the platform's append-only log and list of hosts.
 * docs/STAND-INS.md describes their interface.
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
import {type HttpRequest, sendHttpRequest} from './http-client.js';
import {parseJson} from './http-server.js';
import {waitFor} from './wait-for.js';

const appendedSchema = z.object({offset: logOffsetSchema});
const recordsSchema = z.object({
	/** Offset of the oldest record that has not expired. */
	first: logOffsetSchema,
	/** Offset from which the next read continues. */
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

/**
 * Why the platform returned no usable response. `sent` is as in `HttpError`;
 * `status` is undefined if there was no response.
 */
export type PlatformError = {
	readonly sent: boolean;
	readonly status: number | undefined;
	readonly detail: string;
};

/** Event for a follower of a stream: a batch of records, or a failed read. */
export type LogStreamEvent =
	| {readonly type: 'records'; readonly batch: LogRecords}
	| {readonly type: 'failed'; readonly error: PlatformError};

/** Limits and observers of a read, as in `HttpRequest`; the client's own limits if left out. */
export type ReadOptions = Partial<
	Pick<HttpRequest, 'signal' | 'silenceMs' | 'timeoutMs' | 'onArrival'>
>;

/**
 * Maximum number of records in one read; fewer mean that the read reached the
 * end of the stream.
 */
export const maxRecordsPerRead = 1000;

/** Limit of a call with a short answer, and of the silence of an answer with records, in milliseconds. */
const requestTimeoutMs = 2000;
/** Limit of the whole transfer of an answer with records, in milliseconds; the largest answer, 16 MiB, takes 54 s at 2.5 Mbit/s. */
const transferTimeoutMs = 60_000;
const longPollMs = 10_000;
const retryDelayMs = 200;

export class PlatformClient {
	constructor(private readonly address: string) {}

	/** Appends one record to a stream; returns its offset. */
	async append(
		stream: string,
		value: unknown,
	): Promise<Result<LogOffset, PlatformError>> {
		const appended = await this.#send(
			'POST',
			`/v1/logs/${stream}/records`,
			appendedSchema,
			{body: JSON.stringify({value})},
		);
		return appended.map(({offset}) => offset);
	}

	/**
	 * Reads records from an offset on; the log waits up to `waitMs` for the
	 * first. An answer that keeps arriving is awaited: begun again, it would share
	 * a slow link with what is left of the one before.
	 */
	async readRecords(
		stream: string,
		from: LogOffset,
		waitMs = 0,
		options: ReadOptions = {},
	): Promise<Result<LogRecords, PlatformError>> {
		return this.#send(
			'GET',
			`/v1/logs/${stream}/records?from=${from}&wait_ms=${waitMs}`,
			recordsSchema,
			{
				silenceMs: waitMs + requestTimeoutMs,
				timeoutMs: waitMs + transferTimeoutMs,
				...options,
			},
		);
	}

	/** Follows a stream with long polls until the observable is unsubscribed. */
	followRecords(stream: string, from: LogOffset): Observable<LogStreamEvent> {
		return new Observable((subscriber) => {
			const abort = new AbortController();
			const pollRepeatedly = async () => {
				let next: number = from;
				/* eslint-disable no-await-in-loop -- each poll starts where the previous one ended */
				while (!subscriber.closed) {
					const batch = await this.readRecords(
						stream,
						toLogOffset(next),
						longPollMs,
						{signal: abort.signal},
					);
					if (batch.isErr()) {
						subscriber.next({type: 'failed', error: batch.error});
						await waitFor(retryDelayMs);
						continue;
					}

					subscriber.next({type: 'records', batch: batch.value});
					next = batch.value.next;
				}
				/* eslint-enable no-await-in-loop */
			};

			void pollRepeatedly();
			return () => {
				abort.abort();
			};
		});
	}

	async listHosts(): Promise<Result<ListedHost[], PlatformError>> {
		const listed = await this.#send('GET', '/v1/hosts', hostsSchema);
		return listed.map(({hosts}) => hosts);
	}

	async #send<Schema extends z.ZodType>(
		method: string,
		path: string,
		schema: Schema,
		options: ReadOptions & {readonly body?: string} = {},
	): Promise<Result<z.infer<Schema>, PlatformError>> {
		const response = await sendHttpRequest({
			method,
			url: `http://${this.address}${path}`,
			headers: {'content-type': 'application/json'},
			timeoutMs: requestTimeoutMs,
			...options,
		});
		if (response.isErr()) {
			const {sent, detail} = response.error;
			return err({sent, status: undefined, detail});
		}

		const {status} = response.value;
		const text = response.value.body.toString();
		const parsed = schema.safeParse(parseJson(text));
		return status === 200 && parsed.success
			? ok(parsed.data)
			: err({sent: true, status, detail: text.slice(0, 200)});
	}
}

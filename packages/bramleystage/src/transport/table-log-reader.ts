/**
 * Reads the table's stream of the platform's log until closed. When a read is
 * overdue, it stays open and another one is sent on a separate connection: one
 * connection can stall while new ones work, and a slow response is still
 * useful.
 */
import type {LogOffset} from '../protocol/ids.js';
import type {LogRecords, PlatformClient} from './platform-client.js';
import {waitFor} from './session-pool.js';

export const tableStream = 'table';

/** How long the log may hold a read open while there are no records for it. */
const logWaitMs = 500;
/** A read is overdue this long after `logWaitMs`. */
const overdueAfterMs = 500;
const readTimeoutMs = 10_000;
const maxConcurrentReads = 4;
const retryDelayMs = 200;

export type TableLogReaderOptions = {
	/** Returns the offset of the next record to read. */
	readonly readNext: () => LogOffset;
	/** Handles a batch; `sentAt` is the time at which its read was sent. */
	readonly onBatch: (batch: LogRecords, sentAt: number) => Promise<void>;
	readonly onFailure: (detail: string) => void;
	readonly readClock: () => number;
};

export class TableLogReader {
	readonly #abort = new AbortController();
	#openReads = 0;

	constructor(
		private readonly platform: PlatformClient,
		private readonly options: TableLogReaderOptions,
	) {
		void this.#run();
	}

	close(): void {
		this.#abort.abort();
	}

	async #run(): Promise<void> {
		const {signal} = this.#abort;
		/* eslint-disable no-await-in-loop -- the next read starts where this one ended */
		while (!signal.aborted) {
			if (this.#openReads >= maxConcurrentReads) {
				await waitFor(retryDelayMs);
				continue;
			}

			const read = this.#read();
			await Promise.race([read, waitFor(logWaitMs + overdueAfterMs)]);
		}
		/* eslint-enable no-await-in-loop */
	}

	async #read(): Promise<void> {
		this.#openReads++;
		const {signal} = this.#abort;
		const {readClock, readNext, onBatch, onFailure} = this.options;
		const sentAt = readClock();
		const batch = await this.platform.readRecords(
			tableStream,
			readNext(),
			logWaitMs,
			{signal, silenceMs: readTimeoutMs, timeoutMs: readTimeoutMs},
		);
		this.#openReads--;
		if (signal.aborted) {
			return;
		}

		if (batch.isErr()) {
			onFailure(batch.error.detail);
			await waitFor(retryDelayMs);
			return;
		}

		await onBatch(batch.value, sentAt);
	}
}

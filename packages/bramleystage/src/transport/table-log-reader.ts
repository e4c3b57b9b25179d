/**
 * Reads the table's stream of the platform's log without end. A read that has
 * no answer in time is left running and another is sent beside it on a
 * connection of its own, since a connection can go silent while new ones work
 * and a slow answer is still of use.
 */
import type {LogOffset} from '../protocol/ids.js';
import type {LogRecords, PlatformClient} from './platform-client.js';
import {waitFor} from './session-pool.js';

export const tableStream = 'table';

/** How long the log may hold a read that has no records yet. */
const pollMs = 500;
/** A read is overdue this long after the log should have answered. */
const overdueMs = 500;
const readTimeoutMs = 10_000;
const maxReads = 4;
const retryMs = 200;

export type TableLogReaderOptions = {
	/** Offset of the next record that is wanted. */
	readonly readNext: () => LogOffset;
	/** Takes a batch; `sentAt` is when its read was sent. */
	readonly onBatch: (batch: LogRecords, sentAt: number) => Promise<void>;
	readonly onFailure: (detail: string) => void;
	readonly readClock: () => number;
};

export class TableLogReader {
	readonly #abort = new AbortController();
	#running = 0;

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
			if (this.#running >= maxReads) {
				await waitFor(retryMs);
				continue;
			}

			const read = this.#read();
			await Promise.race([read, waitFor(pollMs + overdueMs)]);
		}
		/* eslint-enable no-await-in-loop */
	}

	async #read(): Promise<void> {
		this.#running++;
		const {signal} = this.#abort;
		const {readClock, readNext, onBatch, onFailure} = this.options;
		const sentAt = readClock();
		const batch = await this.platform.readRecords(
			tableStream,
			readNext(),
			pollMs,
			{signal, timeoutMs: readTimeoutMs},
		);
		this.#running--;
		if (signal.aborted) {
			return;
		}

		if (batch.isErr()) {
			onFailure(batch.error.detail);
			await waitFor(retryMs);
			return;
		}

		await onBatch(batch.value, sentAt);
	}
}

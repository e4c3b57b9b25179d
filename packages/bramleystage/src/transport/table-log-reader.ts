/**
 * Reads the table's stream of the platform's log until closed. When a read is
 * silent, it stays open and another one is sent on a separate connection: one
 * connection can stall while new ones work, and a late response is still useful.
 * A response that keeps arriving is awaited, as another one would share its link.
 */
import type {LogOffset} from '../protocol/ids.js';
import type {LogRecords, PlatformClient} from './platform-client.js';
import {waitFor} from './wait-for.js';

export const tableStream = 'table';

/** How long the log may hold a read open while there are no records for it. */
const logWaitMs = 500;
/** A read is overdue after this time without a byte, in milliseconds. */
const overdueAfterMs = logWaitMs + 500;
/** A read is given up after this time without a byte, in milliseconds. */
const readSilenceMs = 10_000;
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

/** A read under way; times are in milliseconds of the steady clock. */
type OpenRead = {
	/** When it was sent, or when its last byte arrived. */
	arrivedAt: number;
	isEnded: boolean;
};

/** Computes how long a read may still be silent before it is overdue, in milliseconds. */
const computeRestMs = ({arrivedAt}: OpenRead, now: number) =>
	arrivedAt + overdueAfterMs - now;

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

			const read = {arrivedAt: this.options.readClock(), isEnded: false};
			const applied = this.#read(read);
			await Promise.race([applied, this.#waitUntilOverdue(read)]);
			// Applying a batch may take a read of the snapshot over the same link.
			await (read.isEnded && applied);
		}
		/* eslint-enable no-await-in-loop */
	}

	async #waitUntilOverdue(read: OpenRead): Promise<void> {
		const {readClock} = this.options;
		/* eslint-disable no-await-in-loop -- each arrival extends the wait */
		while (!read.isEnded && computeRestMs(read, readClock()) > 0) {
			await waitFor(computeRestMs(read, readClock()));
			// A process that did not run for a while first reads what has arrived.
			await waitFor(0);
		}
		/* eslint-enable no-await-in-loop */
	}

	async #read(read: OpenRead): Promise<void> {
		this.#openReads++;
		const {signal} = this.#abort;
		const {readClock, readNext, onBatch, onFailure} = this.options;
		const sentAt = readClock();
		const batch = await this.platform.readRecords(
			tableStream,
			readNext(),
			logWaitMs,
			{
				signal,
				silenceMs: readSilenceMs,
				onArrival() {
					read.arrivedAt = readClock();
				},
			},
		);
		this.#openReads--;
		read.isEnded = true;
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

/**
 * Appends snapshots of the table to the platform's log, so that one is always
 * there before the records it covers expire. Any process may do it and two
 * snapshots are harmless; each waits a random time when one is due and looks
 * whether another process was first.
 */
import {type LogOffset, toLogOffset} from '../protocol/ids.js';
import type {TableSnapshot} from '../state/table.js';
import type {LifeCycle} from './life-cycle.js';
import type {Logger} from './logger.js';
import type {PlatformClient} from './platform-client.js';
import {waitFor} from './session-pool.js';
import {appendSnapshot, readSnapshot} from './table-bootstrap.js';

export type SnapshotTiming = {
	/** A snapshot is due this long after the last, in milliseconds. */
	readonly intervalMs: number;
	/** A snapshot is due this many records after the last. */
	readonly records: number;
};

export type TableSnapshotWriterOptions = {
	readonly platform: PlatformClient;
	readonly timing: SnapshotTiming;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readTable: () => TableSnapshot;
	readonly readClock: () => number;
	/** Draws a number from 0 (inclusive) to 1 (exclusive). */
	readonly drawNumber: () => number;
};

const checkIntervalMs = 1000;
const longestDelayMs = 5000;

export class TableSnapshotWriter {
	/** End of the snapshot stream as last seen. */
	#end: LogOffset = toLogOffset(0);
	#lastNext: LogOffset = toLogOffset(0);
	#lastAt: number | undefined;
	#isBusy = false;

	constructor(private readonly options: TableSnapshotWriterOptions) {}

	/** Checks at an interval until the life cycle's stop. */
	start(): void {
		this.options.lifeCycle.registerInterval(checkIntervalMs, () => {
			void this.check();
		});
	}

	/** Appends a snapshot if one is due and nobody else has. */
	async check(): Promise<void> {
		if (this.#isBusy || !this.#isDue()) {
			return;
		}

		this.#isBusy = true;
		const {timing, drawNumber} = this.options;
		await waitFor(
			drawNumber() * Math.min(longestDelayMs, timing.intervalMs / 2),
		);
		await this.#look();
		if (this.#isDue() && !this.options.lifeCycle.isStopped) {
			await this.#append();
		}

		this.#isBusy = false;
	}

	#isDue(): boolean {
		const {readTable, readClock, timing} = this.options;
		const {next} = readTable();
		return (
			next > 0 &&
			(this.#lastAt === undefined ||
				next - this.#lastNext >= timing.records ||
				readClock() - this.#lastAt >= timing.intervalMs)
		);
	}

	/** Learns of snapshots that others appended since the last look. */
	async #look(): Promise<void> {
		const found = await readSnapshot(this.options.platform, this.#end);
		if (found.isErr()) {
			return;
		}

		// The age of a snapshot found at the first look is not known.
		const {intervalMs} = this.options.timing;
		const unknownAgeMs = this.#lastAt === undefined ? intervalMs / 2 : 0;
		this.#end = found.value.end;
		if (found.value.table) {
			this.#record(found.value.table, unknownAgeMs);
		}
	}

	async #append(): Promise<void> {
		const {platform, logger, readTable} = this.options;
		const table = readTable();
		const appended = await appendSnapshot(platform, table);
		if (appended.isErr()) {
			const {detail} = appended.error;
			logger.warn('table.snapshot_failed', {next: table.next, detail});
			return;
		}

		logger.info('table.snapshot_appended', {next: table.next});
		this.#record(table);
	}

	#record({next}: TableSnapshot, ageMs = 0): void {
		this.#lastNext = toLogOffset(Math.max(this.#lastNext, next));
		this.#lastAt = this.options.readClock() - ageMs;
	}
}

/**
 * Appends snapshots of the table to the platform's log, so that there is always
 * one before the records that it covers expire. Any process may append one, and
 * a redundant snapshot is harmless. When one is due, each process waits for a
 * random time and then checks whether another process has appended it already.
 */
import {type LogOffset, toLogOffset} from '../protocol/ids.js';
import type {TableSnapshot} from '../state/table.js';
import type {LifeCycle} from './life-cycle.js';
import type {Logger} from './logger.js';
import type {PlatformClient} from './platform-client.js';
import {waitFor} from './wait-for.js';
import {appendSnapshot, readNewestSnapshot} from './table-snapshot-stream.js';

export type SnapshotTiming = {
	/** A snapshot is due this long after the previous one, in milliseconds. */
	readonly intervalMs: number;
	/** A snapshot is due this many records after the previous one. */
	readonly records: number;
};

export type TableSnapshotWriterOptions = {
	readonly platform: PlatformClient;
	readonly timing: SnapshotTiming;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readTable: () => TableSnapshot;
	readonly readClock: () => number;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly drawNumber: () => number;
};

const checkIntervalMs = 1000;
/** Upper limit of the random delay before a snapshot is appended. */
const maxDelayMs = 5000;

export class TableSnapshotWriter {
	/** End of the snapshot stream at the last read. */
	#streamEnd: LogOffset = toLogOffset(0);
	/** Table offset of the newest known snapshot. */
	#snapshotOffset: LogOffset = toLogOffset(0);
	#snapshotAt: number | undefined;
	#isChecking = false;
	readonly #abort = new AbortController();

	constructor(private readonly options: TableSnapshotWriterOptions) {
		options.lifeCycle.register(() => {
			this.#abort.abort();
		});
	}

	/** Checks at an interval until the life cycle stops. */
	start(): void {
		this.options.lifeCycle.registerInterval(checkIntervalMs, () => {
			void this.check();
		});
	}

	/** Appends a snapshot if one is due and no other process has appended it. */
	async check(): Promise<void> {
		if (this.#isChecking || !this.#isDue()) {
			return;
		}

		this.#isChecking = true;
		const {timing, drawNumber} = this.options;
		await waitFor(drawNumber() * Math.min(maxDelayMs, timing.intervalMs / 2));
		await this.#readNewSnapshots();
		if (this.#isDue() && !this.options.lifeCycle.isStopped) {
			await this.#append();
		}

		this.#isChecking = false;
	}

	#isDue(): boolean {
		const {readTable, readClock, timing} = this.options;
		const {next} = readTable();
		return (
			next > 0 &&
			(this.#snapshotAt === undefined ||
				next - this.#snapshotOffset >= timing.records ||
				readClock() - this.#snapshotAt >= timing.intervalMs)
		);
	}

	/** Reads the snapshots that other processes appended since the last read. */
	async #readNewSnapshots(): Promise<void> {
		const found = await readNewestSnapshot(
			this.options.platform,
			this.#streamEnd,
			this.#abort.signal,
		);
		if (found.isErr()) {
			return;
		}

		// The age of a snapshot found by the first read is unknown; half the
		// interval is assumed.
		const {intervalMs} = this.options.timing;
		const assumedAgeMs = this.#snapshotAt === undefined ? intervalMs / 2 : 0;
		this.#streamEnd = found.value.end;
		if (found.value.table) {
			this.#recordSnapshot(found.value.table, assumedAgeMs);
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
		this.#recordSnapshot(table);
	}

	#recordSnapshot({next}: TableSnapshot, ageMs = 0): void {
		this.#snapshotOffset = toLogOffset(Math.max(this.#snapshotOffset, next));
		this.#snapshotAt = this.options.readClock() - ageMs;
	}
}

/**
 * Keeps a process's table up to date and tracks how fresh it is. Records are
 * folded, that is, applied in the order of the log. They come from the log or
 * from peers, and a snapshot replaces a table that is behind it. Entries
 * follow the log; agents have no platform client here and receive the table
 * over their sessions with the entries.
 */
import {BehaviorSubject, Subject} from 'rxjs';
import {
	type DataCentreId,
	type LogOffset,
	toLogOffset,
} from '../protocol/ids.js';
import type {Message} from '../protocol/messages.js';
import type {TableReport} from '../protocol/table-messages.js';
import {
	createTable,
	type EditResult,
	foldRecord,
	type TableSnapshot,
} from '../state/table.js';
import {
	createTableFreshness,
	createTableReport,
	isTableStale,
	recordLogRead,
	recordPeerReport,
	type TableFreshness,
} from '../state/table-freshness.js';
import {
	type CollectedSnapshotParts,
	addSnapshotPart,
} from '../state/table-snapshot.js';
import type {LifeCycle} from './life-cycle.js';
import type {Logger} from './logger.js';
import {
	type LogRecords,
	maxRecordsPerRead,
	type PlatformClient,
} from './platform-client.js';
import type {SessionPeer} from './session.js';
import {readNewestSnapshot} from './table-snapshot-stream.js';
import {TableLogReader} from './table-log-reader.js';
import {RecentTableRecords} from './recent-table-records.js';

export type TableFollowerOptions = {
	/** If absent, the table comes only from peers. */
	readonly platform?: PlatformClient;
	readonly dataCentre: DataCentreId;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

/** State of the table for `/dump`. */
export type TableSummary = {
	readonly tableOffset: LogOffset;
	readonly tableSkipped: number;
	readonly tableStale: boolean;
	readonly tablePeers: Readonly<Record<string, LogOffset>>;
};

/** A request for records is sent again if none arrive for this duration. */
const requestIntervalMs = 300;

export class TableFollower {
	readonly table = new BehaviorSubject<TableSnapshot>(createTable());
	/** Outcome of each edit, emitted when this process folds it. */
	readonly editResults = new Subject<EditResult>();
	#freshness: TableFreshness = createTableFreshness();
	#snapshotParts: CollectedSnapshotParts = new Map();
	#requestedAt = Number.NEGATIVE_INFINITY;
	#isLoaded = false;
	readonly #recentRecords = new RecentTableRecords();
	readonly #abort = new AbortController();
	/** Read of the snapshot under way, for all batches that show expired records. */
	#restoration: Promise<void> | undefined;

	constructor(private readonly options: TableFollowerOptions) {
		const {platform, lifeCycle, logger, readClock} = options;
		if (!platform) {
			return;
		}

		const reader = new TableLogReader(platform, {
			readNext: () => this.table.value.next,
			onBatch: async (batch, sentAt) => this.#applyBatch(batch, sentAt),
			onFailure(detail) {
				logger.warn('table.read_failed', {detail});
			},
			readClock,
		});
		lifeCycle.register(() => {
			reader.close();
			this.#abort.abort();
		});
	}

	/** True once the log has been read to its end, or a snapshot has been applied. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/**
	 * Latest time at which the table is known to have contained every record of
	 * the log.
	 */
	get provedCompleteAt(): number | undefined {
		return this.#freshness.provedCompleteAt;
	}

	/** True if the table is too old for this process to accept new work. */
	get isStale(): boolean {
		const {dataCentre, readClock} = this.options;
		const {next} = this.table.value;
		return isTableStale(this.#freshness, {next, dataCentre}, readClock());
	}

	/** State for `/dump`; `tablePeers` has the last reported offset of each peer. */
	get summary(): TableSummary {
		const {next, skipped} = this.table.value;
		return {
			tableOffset: next,
			tableSkipped: skipped,
			tableStale: this.isStale,
			tablePeers: Object.fromEntries(
				[...this.#freshness.peers].map(([host, peer]) => [host, peer.next]),
			),
		};
	}

	/** Creates the table report of the next heartbeat to a peer. */
	createReport(peer: SessionPeer): TableReport {
		const now = this.options.readClock();
		return createTableReport(this.#freshness, this.table.value.next, peer, now);
	}

	/**
	 * Handles a message from a peer; `reply` sends a message back. Other kinds of
	 * messages are ignored.
	 */
	receive(
		peer: SessionPeer,
		message: Message,
		reply: (message: Message) => void,
	): void {
		if (message.type === 'heartbeat' && message.table) {
			this.#receiveReport(peer, message.table, reply);
		} else
			switch (message.type) {
				case 'tableRequest': {
					const replies = this.#recentRecords.createReplies(
						this.table.value,
						message.from,
					);
					for (const each of replies) {
						reply(each);
					}

					break;
				}

				case 'tableRecords': {
					this.#foldRecords(message.records);

					break;
				}

				case 'tablePart': {
					const {collected, table} = addSnapshotPart(
						this.#snapshotParts,
						message,
					);
					this.#snapshotParts = collected;
					this.#replaceTable(table);

					break;
				}
				// No default
			}
	}

	#receiveReport(
		peer: SessionPeer,
		report: TableReport,
		reply: (message: Message) => void,
	): void {
		const now = this.options.readClock();
		const {next} = this.table.value;
		this.#freshness = recordPeerReport(this.#freshness, peer, report, {
			next,
			now,
		});
		if (report.next > next && now - this.#requestedAt >= requestIntervalMs) {
			this.#requestedAt = now;
			reply({type: 'tableRequest', from: next});
		}
	}

	async #applyBatch(batch: LogRecords, sentAt: number): Promise<void> {
		if (batch.first > this.table.value.next) {
			this.#restoration ??= this.#restoreFromSnapshot();
			await this.#restoration;
			this.#restoration = undefined;
		}

		this.#foldRecords(batch.records);
		const isCompleteToEnd =
			batch.first <= this.table.value.next &&
			batch.next <= this.table.value.next &&
			batch.records.length < maxRecordsPerRead;
		if (isCompleteToEnd) {
			this.#freshness = recordLogRead(this.#freshness, sentAt);
			this.#isLoaded = true;
		}
	}

	/**
	 * Restores the table from a snapshot, because records expired before they
	 * were read.
	 */
	async #restoreFromSnapshot(): Promise<void> {
		const {platform, logger} = this.options;
		logger.warn('table.records_expired', {next: this.table.value.next});
		const found =
			platform &&
			(await readNewestSnapshot(platform, toLogOffset(0), this.#abort.signal));
		if (found?.isOk()) {
			this.#replaceTable(found.value.table);
		} else if (found?.isErr() && !this.#abort.signal.aborted) {
			logger.warn('table.read_failed', {detail: found.error.detail});
		}
	}

	#replaceTable(table: TableSnapshot | undefined): void {
		if (!table || table.next <= this.table.value.next) {
			return;
		}

		this.options.logger.info('table.restored', {next: table.next});
		this.#requestedAt = Number.NEGATIVE_INFINITY;
		this.#isLoaded = true;
		this.#recentRecords.clear();
		this.table.next(table);
	}

	#foldRecords(records: LogRecords['records']): void {
		let table = this.table.value;
		const results: EditResult[] = [];
		for (const {offset, value} of records) {
			if (offset !== table.next) {
				continue;
			}

			const folded = foldRecord(table, offset, value);
			table = folded.table;
			this.#recentRecords.append({offset, value});
			this.options.logger.info('table.folded', {
				offset,
				edit: folded.result?.edit,
				accepted: folded.result?.accepted.length,
				refused: folded.result?.refused.length,
			});
			if (folded.result) {
				results.push(folded.result);
			}
		}

		if (table !== this.table.value) {
			this.#requestedAt = Number.NEGATIVE_INFINITY;
			this.table.next(table);
		}

		for (const result of results) {
			this.editResults.next(result);
		}
	}
}

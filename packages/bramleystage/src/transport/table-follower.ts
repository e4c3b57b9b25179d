/**
 * Keeps a process's table: folds the records of the log, of a snapshot or of
 * peers, whichever has more, and says how fresh the table is. Entries follow
 * the log; agents have no platform client here and learn the table from the
 * entries' sessions.
 */
import {BehaviorSubject, Subject} from 'rxjs';
import type {DataCentreId, LogOffset} from '../protocol/ids.js';
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
	maxReadRecords,
	type PlatformClient,
} from './platform-client.js';
import type {SessionPeer} from './session.js';
import {readSnapshot} from './table-bootstrap.js';
import {TableLogReader} from './table-log-reader.js';
import {TableSharing} from './table-sharing.js';

export type TableFollowerOptions = {
	/** Without it the table comes from peers alone. */
	readonly platform?: PlatformClient;
	readonly dataCentre: DataCentreId;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

/** State of the table for the dump. */
export type TableSummary = {
	readonly tableOffset: LogOffset;
	readonly tableSkipped: number;
	readonly tableStale: boolean;
	readonly tablePeers: Readonly<Record<string, LogOffset>>;
};

/** A peer is asked again for records after this time without them. */
const askAgainMs = 300;

export class TableFollower {
	readonly table = new BehaviorSubject<TableSnapshot>(createTable());
	/** What became of each edit that was folded here. */
	readonly results = new Subject<EditResult>();
	#contact: TableFreshness = createTableFreshness();
	#collected: CollectedSnapshotParts = new Map();
	#askedAt = Number.NEGATIVE_INFINITY;
	#hasRead = false;
	readonly #sharing = new TableSharing();

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
		});
	}

	/** True once the log has been read to its end, or a peer's table was taken. */
	get hasRead(): boolean {
		return this.#hasRead;
	}

	/** Latest moment at which the table is known to have lacked no record. */
	get provedAt(): number | undefined {
		return this.#contact.provedCompleteAt;
	}

	/** True if this process must take no new work now. */
	get isStale(): boolean {
		const {dataCentre, readClock} = this.options;
		const {next} = this.table.value;
		return isTableStale(this.#contact, {next, dataCentre}, readClock());
	}

	/** State for the dump; `tablePeers` are offsets as the peers last told them. */
	get summary(): TableSummary {
		const {next, skipped} = this.table.value;
		return {
			tableOffset: next,
			tableSkipped: skipped,
			tableStale: this.isStale,
			tablePeers: Object.fromEntries(
				[...this.#contact.peers].map(([host, peer]) => [host, peer.next]),
			),
		};
	}

	/** What the next heartbeat to a peer says of the table. */
	describe(peer: SessionPeer): TableReport {
		const now = this.options.readClock();
		return createTableReport(this.#contact, this.table.value.next, peer, now);
	}

	/** Takes a message of a peer; `reply` sends one back to it. */
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
					const answers = this.#sharing.createAnswers(
						this.table.value,
						message.from,
					);
					for (const answer of answers) {
						reply(answer);
					}

					break;
				}

				case 'tableRecords': {
					this.#fold(message.records);

					break;
				}

				case 'tablePart': {
					const {collected, table} = addSnapshotPart(this.#collected, message);
					this.#collected = collected;
					this.#replace(table);

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
		this.#contact = recordPeerReport(this.#contact, peer, report, {next, now});
		if (report.next > next && now - this.#askedAt >= askAgainMs) {
			this.#askedAt = now;
			reply({type: 'tableRequest', from: next});
		}
	}

	async #applyBatch(batch: LogRecords, sentAt: number): Promise<void> {
		if (batch.first > this.table.value.next) {
			await this.#restoreFromLog();
		}

		this.#fold(batch.records);
		const isWhole =
			batch.first <= this.table.value.next &&
			batch.next <= this.table.value.next &&
			batch.records.length < maxReadRecords;
		if (isWhole) {
			this.#contact = recordLogRead(this.#contact, sentAt);
			this.#hasRead = true;
		}
	}

	/** Records expired before they were read: only a snapshot can bridge that. */
	async #restoreFromLog(): Promise<void> {
		const {platform, logger} = this.options;
		logger.warn('table.records_expired', {next: this.table.value.next});
		const found = platform && (await readSnapshot(platform));
		if (found?.isOk()) {
			this.#replace(found.value.table);
		}
	}

	#replace(table: TableSnapshot | undefined): void {
		if (!table || table.next <= this.table.value.next) {
			return;
		}

		this.options.logger.info('table.restored', {next: table.next});
		this.#askedAt = Number.NEGATIVE_INFINITY;
		this.#hasRead = true;
		this.#sharing.reset();
		this.table.next(table);
	}

	#fold(records: LogRecords['records']): void {
		let table = this.table.value;
		const results: EditResult[] = [];
		for (const {offset, value} of records) {
			if (offset !== table.next) {
				continue;
			}

			const folded = foldRecord(table, offset, value);
			table = folded.table;
			this.#sharing.append({offset, value});
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
			this.#askedAt = Number.NEGATIVE_INFINITY;
			this.table.next(table);
		}

		for (const result of results) {
			this.results.next(result);
		}
	}
}

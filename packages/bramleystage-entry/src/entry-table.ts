/**
 * The entry's copy of the table: follows the log, forwards records to the agents,
 * appends snapshots, and refuses new work while the table is stale.
 */
import {
	createFailure,
	type EntrySettings,
	type Failure,
	type LifeCycle,
	type Logger,
	type PlatformClient,
	type SessionPoolEvent,
	TableFollower,
	TableSnapshotWriter,
} from 'bramleystage';
import type {EntryMetrics} from './audit.js';

export type EntryTableOptions = {
	readonly platform: PlatformClient;
	readonly settings: EntrySettings;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

export type EntryTable = {
	readonly follower: TableFollower;
	/** Handles agents' messages about the table. */
	readonly receive: (event: SessionPoolEvent) => void;
	/** Returns the failure for new work while the table is stale, else undefined. */
	readonly findStaleTableFailure: () => Failure | undefined;
	readonly registerGauges: (metrics: EntryMetrics) => void;
	/** Describes the table for `/dump`. */
	readonly describe: () => Record<string, unknown>;
};

const retryAfterSeconds = 1;

/** Starts following the table and appending snapshots of it. */
export function startTable(options: EntryTableOptions): EntryTable {
	const {platform, settings, lifeCycle, logger, readClock} = options;
	const {dataCentre, snapshotIntervalMs, snapshotRecords} = settings;
	const follower = new TableFollower({
		platform,
		dataCentre,
		lifeCycle,
		logger,
		readClock,
	});
	new TableSnapshotWriter({
		platform,
		timing: {intervalMs: snapshotIntervalMs, records: snapshotRecords},
		lifeCycle,
		logger,
		readTable: () => follower.table.value,
		readClock,
		drawNumber: Math.random,
	}).start();
	return {
		follower,
		receive(event) {
			if (event.type === 'message') {
				const {session, message} = event;
				follower.receive(session.peer, message, (answer) => {
					session.send(answer);
				});
			}
		},
		findStaleTableFailure: () =>
			follower.isStale
				? createFailure(
						'tableStale',
						'The table may have been edited since this entry last read it.',
						{retryAfterSeconds},
					)
				: undefined,
		registerGauges(metrics) {
			registerTableGauges(follower, metrics);
		},
		describe: () => ({
			...follower.summary,
			tableRows: Object.fromEntries(follower.table.value.rows),
		}),
	};
}

function registerTableGauges(
	follower: TableFollower,
	metrics: EntryMetrics,
): void {
	metrics.registerGauge('table_offset', 'Next offset of the table', () =>
		Number(follower.table.value.next),
	);
	metrics.registerGauge(
		'table_skipped_records',
		'Records of the table that were no valid edit',
		() => follower.table.value.skipped,
	);
	metrics.registerGauge(
		'table_stale',
		'1 while the table is too old to take new work',
		() => Number(follower.isStale),
	);
}

/**
 * Reads and appends snapshots of the table, which have their own stream in the
 * platform's log. A process restores the table from the newest complete
 * snapshot when the records that it covers have expired.
 */
import {err, ok, type Result} from 'neverthrow';
import {type LogOffset, toLogOffset} from '../protocol/ids.js';
import {snapshotPartSchema} from '../protocol/table-snapshot-schema.js';
import type {TableSnapshot} from '../state/table.js';
import {
	type CollectedSnapshotParts,
	addSnapshotPart,
	createSnapshotParts,
} from '../state/table-snapshot.js';
import type {PlatformClient, PlatformError} from './platform-client.js';

export const tableSnapshotStream = 'table-snapshots';

export type NewestSnapshot = {
	/** The complete snapshot with the highest offset; undefined if there is none. */
	readonly table: TableSnapshot | undefined;
	/** Number of records that are not valid snapshot parts. */
	readonly skipped: number;
	/** Offset of the next record of the snapshot stream. */
	readonly end: LogOffset;
};

/**
 * Reads the snapshot stream from an offset to its end and returns the newest
 * complete snapshot. `signal` ends the read.
 */
export async function readNewestSnapshot(
	platform: PlatformClient,
	start: LogOffset = toLogOffset(0),
	signal?: AbortSignal,
): Promise<Result<NewestSnapshot, PlatformError>> {
	let from = start;
	let collected: CollectedSnapshotParts = new Map();
	let table: TableSnapshot | undefined;
	let skipped = 0;
	/* eslint-disable no-await-in-loop -- each read starts where the previous one ended */
	for (;;) {
		const batch = await platform.readRecords(tableSnapshotStream, from, 0, {
			signal,
		});
		if (batch.isErr()) {
			return err(batch.error);
		}

		for (const {value} of batch.value.records) {
			const part = snapshotPartSchema.safeParse(value);
			if (!part.success) {
				skipped++;
				continue;
			}

			const added = addSnapshotPart(collected, part.data);
			collected = added.collected;
			if (added.table && added.table.next >= (table?.next ?? 0)) {
				table = added.table;
			}
		}

		if (batch.value.records.length === 0) {
			return ok({table, skipped, end: from});
		}

		from = batch.value.next;
	}
	/* eslint-enable no-await-in-loop */
}

/**
 * Appends a snapshot part by part; stops at the first failed append, which
 * leaves the snapshot incomplete.
 */
export async function appendSnapshot(
	platform: PlatformClient,
	table: TableSnapshot,
): Promise<Result<void, PlatformError>> {
	for (const part of createSnapshotParts(table)) {
		// eslint-disable-next-line no-await-in-loop -- appends one part at a time, to limit the load on the log
		const appended = await platform.append(tableSnapshotStream, part);
		if (appended.isErr()) {
			return err(appended.error);
		}
	}

	return ok();
}

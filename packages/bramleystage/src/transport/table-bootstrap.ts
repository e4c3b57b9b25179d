/**
 * Snapshots in the platform's log, in a stream of their own: reading the
 * newest whole one, and appending one before the records it covers expire.
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

export type FoundSnapshot = {
	/** The longest table among the whole snapshots, if there is one. */
	readonly table: TableSnapshot | undefined;
	/** Parts or whole snapshots that were no valid ones. */
	readonly skipped: number;
	/** Offset of the stream's next record. */
	readonly end: LogOffset;
};

/** Reads the snapshot stream from an offset to its end. */
export async function readSnapshot(
	platform: PlatformClient,
	start: LogOffset = toLogOffset(0),
): Promise<Result<FoundSnapshot, PlatformError>> {
	let from = start;
	let collected: CollectedSnapshotParts = new Map();
	let table: TableSnapshot | undefined;
	let skipped = 0;
	/* eslint-disable no-await-in-loop -- each read starts where the last ended */
	for (;;) {
		const batch = await platform.readRecords(tableSnapshotStream, from);
		if (batch.isErr()) {
			return err(batch.error);
		}

		for (const {value} of batch.value.records) {
			const part = snapshotPartSchema.safeParse(value);
			if (!part.success) {
				skipped++;
				continue;
			}

			const next = addSnapshotPart(collected, part.data);
			collected = next.collected;
			if (next.table && next.table.next >= (table?.next ?? 0)) {
				table = next.table;
			}
		}

		if (batch.value.records.length === 0) {
			return ok({table, skipped, end: from});
		}

		from = batch.value.next;
	}
	/* eslint-enable no-await-in-loop */
}

/** Appends a snapshot; a part whose answer was lost makes this one incomplete. */
export async function appendSnapshot(
	platform: PlatformClient,
	table: TableSnapshot,
): Promise<Result<void, PlatformError>> {
	for (const part of createSnapshotParts(table)) {
		// eslint-disable-next-line no-await-in-loop -- keeps the appends paced
		const appended = await platform.append(tableSnapshotStream, part);
		if (appended.isErr()) {
			return err(appended.error);
		}
	}

	return ok();
}

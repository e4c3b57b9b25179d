/**
 * How processes pass the table on over their sessions. Each tells its offset
 * in heartbeats; one that is behind asks a peer for the records it lacks, and
 * gets a snapshot in parts where the peer no longer keeps them.
 */
import * as z from 'zod';
import {logOffsetSchema} from './ids.js';
import {snapshotPartSchema} from './table-snapshot-schema.js';

const milliseconds = z.number().min(0);

/** What a process knows of the table, in its heartbeats. */
export const tableReportSchema = z.object({
	/** Offset of the next record that the sender would fold. */
	next: logOffsetSchema,
	/** How long ago the sender last had proof of knowing the whole log. */
	ageMs: milliseconds.optional(),
	/** The sender's own monotonic clock; only the sender reads it. */
	sentAt: milliseconds,
	/** The last `sentAt` that the sender got from this peer. */
	echo: milliseconds.optional(),
});
export type TableReport = z.infer<typeof tableReportSchema>;

/** Asks for the records from an offset on. */
export const tableRequestSchema = z.object({
	type: z.literal('tableRequest'),
	from: logOffsetSchema,
});
export type TableRequest = z.infer<typeof tableRequestSchema>;

/** Records of the table's stream as the log gave them. */
export const tableRecordsSchema = z.object({
	type: z.literal('tableRecords'),
	records: z
		.array(z.object({offset: logOffsetSchema, value: z.unknown()}))
		.max(10_000),
});
export type TableRecords = z.infer<typeof tableRecordsSchema>;

/** One part of a snapshot. */
export const tablePartSchema = snapshotPartSchema.extend({
	type: z.literal('tablePart'),
});
export type TablePart = z.infer<typeof tablePartSchema>;

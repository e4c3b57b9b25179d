/**
 * Messages that replicate the table between processes over their sessions. Each
 * process reports its table offset in heartbeats. A process that is behind a
 * peer requests the missing records from it, and receives a snapshot in parts if
 * the peer no longer keeps them.
 */
import * as z from 'zod';
import {logOffsetSchema} from './ids.js';
import {snapshotPartSchema} from './table-snapshot-schema.js';

const milliseconds = z.number().min(0);

/** State of the sender's table, sent in heartbeats. */
export const tableReportSchema = z.object({
	/** Offset of the next record that the sender would fold. */
	next: logOffsetSchema,
	/** Time since the sender's table was last provably complete; absent if it never was. */
	ageMs: milliseconds.optional(),
	/** Send time on the sender's own steady clock, meaningful to the sender only. */
	sentAt: milliseconds,
	/** The last `sentAt` that the sender received from the receiver. */
	echo: milliseconds.optional(),
});
export type TableReport = z.infer<typeof tableReportSchema>;

/** Requests the records from an offset on. */
export const tableRequestSchema = z.object({
	type: z.literal('tableRequest'),
	from: logOffsetSchema,
});
export type TableRequest = z.infer<typeof tableRequestSchema>;

/** Records of the table's stream, unchanged from the log. */
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

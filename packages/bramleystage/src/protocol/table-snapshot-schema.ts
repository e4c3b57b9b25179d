/**
 * Records of the table's snapshot stream. A snapshot is too large for one record
 * or frame, so it is split into parts; a reader joins the parts of a snapshot
 * and checks the digest before using them.
 */
import * as z from 'zod';
import {editIdSchema, logOffsetSchema} from './ids.js';
import {rowKeySchema} from './table-schema.js';

/** Largest number of rows in one part. */
export const snapshotPartRows = 2000;

/** A row of a snapshot; `cells` is null for a removed row. */
export const snapshotRowSchema = z.object({
	row: rowKeySchema,
	version: logOffsetSchema,
	author: z.string().max(200),
	cells: z.record(z.string().max(100), z.string().max(10_000)).nullable(),
});
export type SnapshotRow = z.infer<typeof snapshotRowSchema>;

export const snapshotPartSchema = z.object({
	kind: z.literal('snapshot'),
	format: z.literal(1),
	/** Offset of the first record that is not in the snapshot. */
	next: logOffsetSchema,
	/** Records skipped before `next`. */
	skipped: z.int().min(0),
	/** SHA-256 of the complete snapshot, lower-case hexadecimal. */
	digest: z.string().regex(/^[\da-f]{64}$/v),
	part: z.int().min(0),
	parts: z.int().min(1).max(10_000),
	/** Recent edits with their offsets, in the first part. */
	edits: z.array(z.tuple([logOffsetSchema, editIdSchema])).max(10_000),
	rows: z.array(snapshotRowSchema).max(snapshotPartRows),
});
export type SnapshotPart = z.infer<typeof snapshotPartSchema>;

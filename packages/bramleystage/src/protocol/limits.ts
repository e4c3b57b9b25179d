/**
 * Limits that hold over all entries: their keys, the messages by which an entry
 * asks an owner for a permit, and the records of the log that say which entries
 * may own a part of a limit.
 */
import * as z from 'zod';
import {hostIdSchema, incarnationSchema, logOffsetSchema} from './ids.js';

export const limitKindSchema = z.enum([
	'requests_per_second',
	'tokens_per_second',
	'concurrent',
]);
export type LimitKind = z.infer<typeof limitKindSchema>;

/** One limit of one row, such as `customer/gates/concurrent`. */
export const limitKeySchema = z.string().max(500).brand<'LimitKey'>();
export type LimitKey = z.infer<typeof limitKeySchema>;

/** Numbers the permits that one entry's incarnation asks for. */
export const permitNumberSchema = z.int().min(0).brand<'PermitNumber'>();
export type PermitNumber = z.infer<typeof permitNumberSchema>;

export const toLimitKey = (value: string) => value as LimitKey;
export const toPermitNumber = (value: number) => value as PermitNumber;

/** An entry asks an owner for part of a limit. */
export const permitAskSchema = z.object({
	type: z.literal('permitAsk'),
	number: permitNumberSchema,
	key: limitKeySchema,
	kind: limitKindSchema,
	amount: z.number().positive(),
});
export type PermitAsk = z.infer<typeof permitAskSchema>;

/** The owner's answer; a refusal says when to ask again. */
export const permitAnswerSchema = z.object({
	type: z.literal('permitAnswer'),
	number: permitNumberSchema,
	granted: z.boolean(),
	retryAfterMs: z.number().min(0),
});
export type PermitAnswer = z.infer<typeof permitAnswerSchema>;

/** A concurrent permit is over, or a permit was not used. */
export const permitReleaseSchema = z.object({
	type: z.literal('permitRelease'),
	number: permitNumberSchema,
	key: limitKeySchema,
});
export type PermitRelease = z.infer<typeof permitReleaseSchema>;

/**
 * Which of its permits up to a number an entry still holds from this owner; the
 * owner ends the others, whose release was lost.
 */
export const permitHeldSchema = z.object({
	type: z.literal('permitHeld'),
	upTo: permitNumberSchema,
	numbers: z.array(permitNumberSchema).max(100_000),
});
export type PermitHeld = z.infer<typeof permitHeldSchema>;

/** The messages of the permit exchange. */
export type PermitMessage =
	PermitAsk | PermitAnswer | PermitRelease | PermitHeld;

/**
 * A record of the `limits` stream. `join` adds an entry to the owners, `retire`
 * and `drop` remove it, `confirm` says that the entry keeps to every
 * membership up to an epoch.
 */
export const limitRecordSchema = z.object({
	kind: z.enum(['join', 'retire', 'drop', 'confirm']),
	format: z.literal(1),
	host: hostIdSchema,
	incarnation: incarnationSchema,
	epoch: z.int().min(0).optional(),
});
export type LimitRecord = z.infer<typeof limitRecordSchema>;

/** The state after all records below an offset, for readers that came after some expired. */
export const limitSnapshotSchema = z.object({
	kind: z.literal('snapshot'),
	format: z.literal(1),
	next: logOffsetSchema,
	epoch: z.int().min(0),
	members: z.array(
		z.object({
			host: hostIdSchema,
			incarnation: incarnationSchema,
			confirmed: z.int(),
		}),
	),
	lists: z.array(
		z.object({
			epoch: z.int().min(0),
			members: z.array(z.tuple([hostIdSchema, incarnationSchema])),
		}),
	),
});
export type LimitSnapshot = z.infer<typeof limitSnapshotSchema>;

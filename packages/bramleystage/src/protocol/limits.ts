/**
 * Limits that apply over all entries together. Each limit is divided into shares
 * that some of the entries own, and entries request permits from the owners.
 * This module has the keys of limits, the messages of permit requests,
 * and the log records that determine which entries may own shares.
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

/** Number of a permit request, counted by one incarnation of an entry. */
export const permitNumberSchema = z.int().min(0).brand<'PermitNumber'>();
export type PermitNumber = z.infer<typeof permitNumberSchema>;

export const toLimitKey = (value: string) => value as LimitKey;
export const toPermitNumber = (value: number) => value as PermitNumber;

/** An entry's request to an owner for some amount of a limit. */
export const permitRequestMessageSchema = z.object({
	type: z.literal('permitAsk'),
	number: permitNumberSchema,
	key: limitKeySchema,
	kind: limitKindSchema,
	amount: z.number().positive(),
});
export type PermitRequestMessage = z.infer<typeof permitRequestMessageSchema>;

/** The owner's answer; `retryAfterMs` says when to retry after a refusal. */
export const permitAnswerSchema = z.object({
	type: z.literal('permitAnswer'),
	number: permitNumberSchema,
	granted: z.boolean(),
	retryAfterMs: z.number().min(0),
});
export type PermitAnswer = z.infer<typeof permitAnswerSchema>;

/** Releases a permit: its request has ended (`concurrent`), or the permit was not used. */
export const permitReleaseSchema = z.object({
	type: z.literal('permitRelease'),
	number: permitNumberSchema,
	key: limitKeySchema,
});
export type PermitRelease = z.infer<typeof permitReleaseSchema>;

/**
 * Lists the permits, among those numbered up to `upTo`, that an entry still
 * holds from this owner. The owner ends the others, whose release was lost.
 */
export const permitHeldSchema = z.object({
	type: z.literal('permitHeld'),
	upTo: permitNumberSchema,
	numbers: z.array(permitNumberSchema).max(100_000),
});
export type PermitHeld = z.infer<typeof permitHeldSchema>;

/** Any message about permits. */
export type PermitMessage =
	PermitRequestMessage | PermitAnswer | PermitRelease | PermitHeld;

/**
 * A record of the `limits` stream. `join` adds an entry to the members that may
 * own shares, `retire` and `drop` remove it, `confirm` states that the entry
 * enforces the shares of every membership up to an epoch.
 */
export const limitRecordSchema = z.object({
	kind: z.enum(['join', 'retire', 'drop', 'confirm']),
	format: z.literal(1),
	host: hostIdSchema,
	incarnation: incarnationSchema,
	epoch: z.int().min(0).optional(),
});
export type LimitRecord = z.infer<typeof limitRecordSchema>;

/** The state after all records below an offset, for readers that start after records expired. */
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

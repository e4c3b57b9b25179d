/**
 * Messages by which gateways ask each other for turns at servers that name a limit.
 * They extend those of permits for limits of the table. The key is the server's instance.
 */
import {
	instanceKeySchema,
	permitAnswerSchema,
	permitNumberSchema,
	permitRequestMessageSchema,
} from 'bramleystage';
import * as z from 'zod';

/** What a gateway knows of a limit. */
const limitStateSchema = z.object({
	/** Requests a second; null if the limit has ended. */
	perSecond: z.number().positive().nullable(),
	revision: z.int().min(0),
});

/** What a gateway knows of the limit of an instance. */
export const limitNewsSchema = limitStateSchema.extend({
	instance: instanceKeySchema,
});
export type LimitNews = z.infer<typeof limitNewsSchema>;

export const permitAskSchema = permitRequestMessageSchema.extend({
	limit: limitStateSchema,
	/** Time for which the request can wait for its turn, in milliseconds. */
	maxWaitMs: z.number().min(0),
	/** 0 comes first. */
	priority: z.number(),
	customer: z.string(),
});
export type PermitAsk = z.infer<typeof permitAskSchema>;

/** Withdraws a request that doesn't wait any more. */
export const permitCancelSchema = z.object({
	type: z.literal('permitCancel'),
	number: permitNumberSchema,
});
export type PermitCancel = z.infer<typeof permitCancelSchema>;

/** Asks whether the gateway runs. */
export const permitCheckSchema = z.object({type: z.literal('permitCheck')});

export const permitMessageSchema = z.discriminatedUnion('type', [
	permitAskSchema,
	permitCancelSchema,
	permitCheckSchema,
]);
export type PermitMessageToOwner = z.infer<typeof permitMessageSchema>;

export const permitReplySchema = z.discriminatedUnion('type', [
	permitAnswerSchema.extend({
		limit: limitStateSchema,
		/** Whether another gateway gives the server's turns. */
		isMoved: z.boolean().optional(),
	}),
	z.object({type: z.literal('permitChecked')}),
]);
export type PermitReply = z.infer<typeof permitReplySchema>;
export type PermitAnswerToAsk = Extract<PermitReply, {type: 'permitAnswer'}>;

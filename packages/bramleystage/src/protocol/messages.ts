/**
 * The messages between the system's own processes. Each is sent as one framed
 * cbor-x value. The schemas validate every received frame; an invalid frame
 * closes its session. Times in messages are durations in milliseconds, since
 * hosts share no clock; a clock reading is only echoed to its sender.
 */
import * as z from 'zod';
import {
	attemptSchema,
	customerIdSchema,
	dataCentreIdSchema,
	hostIdSchema,
	incarnationSchema,
	modelNameSchema,
	positionSchema,
	requestIdSchema,
	serviceNameSchema,
	sessionNumberSchema,
} from './ids.js';
import {
	permitAnswerSchema,
	permitRequestMessageSchema,
	permitHeldSchema,
	permitReleaseSchema,
} from './limits.js';
import {
	cachedTokensSchema,
	prefixBlocksSchema,
	prefixReportSchema,
} from './prefix-messages.js';
import {outcomeSchema, resultNameSchema} from './result-codes.js';
import {
	tablePartSchema,
	tableRecordsSchema,
	tableReportSchema,
	tableRequestSchema,
} from './table-messages.js';

/** Version of the protocol; a hello with another version is refused. */
export const protocolVersion = 1;

const count = z.int().min(0);
/** A status of HTTP that ends a request; no other can be written as an answer. */
const finalStatus = z.int().min(200).max(999);
const amount = z.number().min(0);
const bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array);
const headers = z.array(z.tuple([z.string(), z.string()])).max(200);

export const roleSchema = z.enum(['entry', 'agent']);
export type Role = z.infer<typeof roleSchema>;

/** Offer of an agent's backend server: a service, or layers from `fromLayer` (inclusive) to `toLayer` (exclusive). */
export const offerSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('layers'),
		model: modelNameSchema,
		version: z.string().max(100),
		fromLayer: count,
		toLayer: count,
		acceleratorKind: z.string().max(100),
		/** Rate that the engine states for itself, in layer-tokens a second. */
		layerTokensPerSecond: amount,
	}),
	z.object({kind: z.literal('service'), service: serviceNameSchema}),
]);
export type Offer = z.infer<typeof offerSchema>;
export type LayersOffer = Extract<Offer, {kind: 'layers'}>;

/** Load of a backend server as last measured by its agent. */
export const loadReportSchema = z.object({
	/**
	 * Queued work and work expected from open stages, in layer-tokens for engines
	 * and in calls for services.
	 */
	queued: amount,
	running: amount,
	/** Smoothed rate of work finished a second while work was queued; 0 if unknown. */
	rate: amount,
	/** Smoothed time of one step or call at the backend server, in milliseconds. */
	stepMs: amount.optional(),
});
export type LoadReport = z.infer<typeof loadReportSchema>;

/** First frame of a session, from the process that opened it. */
export const helloSchema = z.object({
	type: z.literal('hello'),
	version: count,
	deployment: z.string().max(100),
	role: roleSchema,
	host: hostIdSchema,
	dataCentre: dataCentreIdSchema,
	incarnation: incarnationSchema,
	session: sessionNumberSchema,
});
export type Hello = z.infer<typeof helloSchema>;

/** Answer to an accepted hello: the identity of the process that listens. */
export const welcomeSchema = z.object({
	type: z.literal('welcome'),
	host: hostIdSchema,
	role: roleSchema,
	dataCentre: dataCentreIdSchema,
	incarnation: incarnationSchema,
});
export type Welcome = z.infer<typeof welcomeSchema>;

export const refusalSchema = z.object({
	type: z.literal('refusal'),
	result: resultNameSchema,
	detail: z.string().max(1000),
});

/** Sent by both ends at an interval; a session without any frame for too long is dead. */
export const heartbeatSchema = z.object({
	type: z.literal('heartbeat'),
	leaving: z.boolean(),
	offers: z.array(offerSchema).max(100).optional(),
	load: loadReportSchema.optional(),
	table: tableReportSchema.optional(),
	/** Absent while unchanged, and if the backend server keeps no prefixes. */
	prefixes: prefixReportSchema.optional(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** A call of a plain service; valid only for the named incarnation of the agent. */
export const callSchema = z.object({
	type: z.literal('call'),
	request: requestIdSchema,
	incarnation: incarnationSchema,
	customer: customerIdSchema,
	service: serviceNameSchema,
	weight: amount,
	priority: z.int(),
	idempotent: z.boolean(),
	idempotencyKey: z.string().max(200).optional(),
	method: z.string().max(20),
	path: z.string().max(8192),
	headers,
	body: bytes,
	deadlineMs: amount,
});
export type Call = z.infer<typeof callSchema>;

/** The recorded answer to a call; sent again until acknowledged. */
export const callAnswerSchema = z.object({
	type: z.literal('callAnswer'),
	request: requestIdSchema,
	status: finalStatus,
	headers,
	body: bytes,
});
export type CallAnswer = z.infer<typeof callAnswerSchema>;

/** A call or stage that failed; with the outcome `not-run`, a tombstone keeps the id from running later. */
export const failedSchema = z.object({
	type: z.literal('failed'),
	request: requestIdSchema,
	attempt: attemptSchema,
	result: resultNameSchema,
	outcome: outcomeSchema,
	detail: z.string().max(1000),
	/** Host that the sender could not reach, if that caused the failure. */
	lost: hostIdSchema.optional(),
});
export type Failed = z.infer<typeof failedSchema>;

/** Reply to a duplicate of a call that is still running. */
export const callRunningSchema = z.object({
	type: z.literal('callRunning'),
	request: requestIdSchema,
});

/** The entry has received the answer, or its tokens up to a position; the agent may drop its copy. */
export const acknowledgeSchema = z.object({
	type: z.literal('acknowledge'),
	request: requestIdSchema,
	/** Positions below this one have arrived; absent for a call. */
	position: positionSchema.optional(),
});

/** Cancels a request permanently, or only its attempts up to a number. */
export const cancelSchema = z.object({
	type: z.literal('cancel'),
	request: requestIdSchema,
	upTo: attemptSchema.optional(),
});
export type Cancel = z.infer<typeof cancelSchema>;

/** Reply to a cancel: outcome of the request at the time when its tombstone was set. */
export const cancelledSchema = z.object({
	type: z.literal('cancelled'),
	request: requestIdSchema,
	outcome: outcomeSchema,
});
export type Cancelled = z.infer<typeof cancelledSchema>;

/** One stage of a pipeline: a host and the layers that it runs. */
export const stageSchema = z.object({
	host: hostIdSchema,
	incarnation: incarnationSchema,
	address: z.string().max(200),
	fromLayer: count,
	toLayer: count,
});
export type Stage = z.infer<typeof stageSchema>;

/** Sent by the entry to every stage of an attempt before any of them runs. */
export const stageOpenSchema = z.object({
	type: z.literal('stageOpen'),
	request: requestIdSchema,
	attempt: attemptSchema,
	/** First of the attempts that share the stages' state. */
	lineage: attemptSchema,
	/** Whether this stage continues with the state that it has from the lineage. */
	keeps: z.boolean(),
	model: modelNameSchema,
	version: z.string().max(100),
	customer: customerIdSchema,
	weight: amount,
	priority: z.int(),
	stages: z.array(stageSchema).min(1).max(64),
	index: count,
	/** Position of the first token of the lineage, equal to the number of tokens sent to the caller before it. */
	fromPosition: positionSchema,
	maxTokens: count,
	/** Layer-tokens that the stage is expected to run. */
	work: amount.optional(),
	/** Names of the prompt's leading blocks at this stage. */
	prefix: prefixBlocksSchema.optional(),
	deadlineMs: amount,
});
export type StageOpen = z.infer<typeof stageOpenSchema>;

/** Reply of a stage that has opened. */
export const stageOpenedSchema = z.object({
	type: z.literal('stageOpened'),
	request: requestIdSchema,
	attempt: attemptSchema,
	index: count,
	/** Position that the stage runs next. */
	next: positionSchema,
	/** Whether the stage still has every activation that it sent in the lineage. */
	retains: z.boolean(),
});
export type StageOpened = z.infer<typeof stageOpenedSchema>;

/** Sent to the first stage once every stage is open. */
export const stageRunSchema = z.object({
	type: z.literal('stageRun'),
	request: requestIdSchema,
	attempt: attemptSchema,
	prompt: z.string(),
	/** Tokens that earlier attempts generated and the caller has received. */
	given: z.array(count),
});
export type StageRun = z.infer<typeof stageRunSchema>;

/** Sent to a stage that keeps its state, once every stage of the attempt is open. */
export const stageResumeSchema = z.object({
	type: z.literal('stageResume'),
	request: requestIdSchema,
	attempt: attemptSchema,
	/** Whether to send all retained activations, because the next stage starts without state. */
	replay: z.boolean(),
});
export type StageResume = z.infer<typeof stageResumeSchema>;

/** Output of one stage for the next one: a value for each input token of the covered positions. */
export const activationSchema = z.object({
	type: z.literal('activation'),
	request: requestIdSchema,
	attempt: attemptSchema,
	/** Index of the receiving stage. */
	index: count,
	/** First position that the values cover. */
	first: positionSchema,
	/** Last position that the values cover. */
	position: positionSchema,
	values: z.array(count),
	/** With the first output: cached prompt tokens of the stages before. */
	cached: cachedTokensSchema.optional(),
});
export type Activation = z.infer<typeof activationSchema>;

/** A generated token; sent to the entry, and to the first stage as its next input. */
export const tokenSchema = z.object({
	type: z.literal('token'),
	request: requestIdSchema,
	attempt: attemptSchema,
	position: positionSchema,
	token: count,
	text: z.string(),
	finish: z.enum(['stop', 'length']).optional(),
	promptTokens: count.optional(),
	/** With the first token of an attempt: cached prompt tokens of its stages. */
	cached: cachedTokensSchema.optional(),
});
export type Token = z.infer<typeof tokenSchema>;

export const messageSchema = z.discriminatedUnion('type', [
	helloSchema,
	welcomeSchema,
	refusalSchema,
	heartbeatSchema,
	callSchema,
	callAnswerSchema,
	callRunningSchema,
	failedSchema,
	acknowledgeSchema,
	cancelSchema,
	cancelledSchema,
	stageOpenSchema,
	stageOpenedSchema,
	stageRunSchema,
	stageResumeSchema,
	activationSchema,
	tokenSchema,
	permitRequestMessageSchema,
	permitAnswerSchema,
	permitReleaseSchema,
	permitHeldSchema,
	tableRequestSchema,
	tableRecordsSchema,
	tablePartSchema,
]);
export type Message = z.infer<typeof messageSchema>;
export type MessageOf<Type extends Message['type']> = Extract<
	Message,
	{type: Type}
>;

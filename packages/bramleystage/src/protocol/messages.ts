/**
 * The messages between the system's own processes. Each travels as one framed
 * cbor-x value. The schemas check every frame that arrives; a frame that fails
 * closes its session. Times in messages are durations in milliseconds, never
 * clock readings, since hosts share no clock.
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
	permitAskSchema,
	permitHeldSchema,
	permitReleaseSchema,
} from './limits.js';
import {outcomeSchema, resultNameSchema} from './result-codes.js';
import {
	tablePartSchema,
	tableRecordsSchema,
	tableReportSchema,
	tableRequestSchema,
} from './table-messages.js';

/** A peer with another version is refused at the hello. */
export const protocolVersion = 1;

const count = z.int().min(0);
const amount = z.number().min(0);
const bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array);
const headers = z.array(z.tuple([z.string(), z.string()])).max(200);

export const roleSchema = z.enum(['entry', 'agent']);
export type Role = z.infer<typeof roleSchema>;

/** What an agent's backend server offers. Layers are from (inclusive) to (exclusive). */
export const offerSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('layers'),
		model: modelNameSchema,
		version: z.string().max(100),
		fromLayer: count,
		toLayer: count,
		acceleratorKind: z.string().max(100),
		/** Layer-tokens a second that the engine reports as its own rate. */
		layerTokensPerSecond: amount,
	}),
	z.object({kind: z.literal('service'), service: serviceNameSchema}),
]);
export type Offer = z.infer<typeof offerSchema>;
export type LayersOffer = Extract<Offer, {kind: 'layers'}>;

/** Load of a backend server as its agent last saw it. */
export const loadReportSchema = z.object({
	/**
	 * Work that waits or that open stages are expected to bring, in layer-tokens
	 * for engines, in calls for services.
	 */
	queued: amount,
	running: amount,
	/** Work finished a second while work waited, smoothed; 0 is unknown. */
	rate: amount,
	/** Smoothed time of one step or call at the backend server, in milliseconds. */
	stepMs: amount.optional(),
});
export type LoadReport = z.infer<typeof loadReportSchema>;

/** First frame of the process that opened the session. */
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

/** Answer to a hello: who is here, and what it offers. */
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

/** Sent at an interval by both ends; absence of any frame means a dead session. */
export const heartbeatSchema = z.object({
	type: z.literal('heartbeat'),
	leaving: z.boolean(),
	offers: z.array(offerSchema).max(100).optional(),
	load: loadReportSchema.optional(),
	table: tableReportSchema.optional(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** A call of a plain service, bound to the incarnation that it is meant for. */
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

/** The recorded answer of a call; repeated until acknowledged. */
export const callAnswerSchema = z.object({
	type: z.literal('callAnswer'),
	request: requestIdSchema,
	status: count,
	headers,
	body: bytes,
});
export type CallAnswer = z.infer<typeof callAnswerSchema>;

/** A call or stage that failed; `not-run` here means a tombstone is on the id. */
export const failedSchema = z.object({
	type: z.literal('failed'),
	request: requestIdSchema,
	attempt: attemptSchema,
	result: resultNameSchema,
	outcome: outcomeSchema,
	detail: z.string().max(1000),
	/** Host that the sender could not reach, if that is why it failed. */
	lost: hostIdSchema.optional(),
});
export type Failed = z.infer<typeof failedSchema>;

/** The call is still running; sent in reply to a duplicate. */
export const callRunningSchema = z.object({
	type: z.literal('callRunning'),
	request: requestIdSchema,
});

/** The entry has the whole answer; the agent may drop its copy. */
export const acknowledgeSchema = z.object({
	type: z.literal('acknowledge'),
	request: requestIdSchema,
	/** Positions below this one have arrived; absent for a call. */
	position: positionSchema.optional(),
});

/** Stop this request for good, or only its attempts up to a number. */
export const cancelSchema = z.object({
	type: z.literal('cancel'),
	request: requestIdSchema,
	upTo: attemptSchema.optional(),
});
export type Cancel = z.infer<typeof cancelSchema>;

/** Reply to a cancel: what had become of the request when the tombstone was put. */
export const cancelledSchema = z.object({
	type: z.literal('cancelled'),
	request: requestIdSchema,
	outcome: outcomeSchema,
});
export type Cancelled = z.infer<typeof cancelledSchema>;

/** One stage of a pipeline: a host and the layers that it runs there. */
export const stageSchema = z.object({
	host: hostIdSchema,
	incarnation: incarnationSchema,
	address: z.string().max(200),
	fromLayer: count,
	toLayer: count,
});
export type Stage = z.infer<typeof stageSchema>;

/** Sent by the entry to every stage before any of them runs. */
export const stageOpenSchema = z.object({
	type: z.literal('stageOpen'),
	request: requestIdSchema,
	attempt: attemptSchema,
	/** First attempt of those whose stages share their state. */
	lineage: attemptSchema,
	/** This stage goes on with the state that it has of the lineage. */
	keeps: z.boolean(),
	model: modelNameSchema,
	version: z.string().max(100),
	customer: customerIdSchema,
	weight: amount,
	priority: z.int(),
	stages: z.array(stageSchema).min(1).max(64),
	index: count,
	/** Position of the first token of the lineage: the tokens given before it. */
	fromPosition: positionSchema,
	maxTokens: count,
	/** Layer-tokens that the stage is expected to run. */
	work: amount.optional(),
	deadlineMs: amount,
});
export type StageOpen = z.infer<typeof stageOpenSchema>;

export const stageOpenedSchema = z.object({
	type: z.literal('stageOpened'),
	request: requestIdSchema,
	attempt: attemptSchema,
	index: count,
	/** Position that the stage runs next. */
	next: positionSchema,
	/** The stage still has every activation of the lineage that it sent. */
	retains: z.boolean(),
});
export type StageOpened = z.infer<typeof stageOpenedSchema>;

/** Sent to the first stage once every stage is open. */
export const stageRunSchema = z.object({
	type: z.literal('stageRun'),
	request: requestIdSchema,
	attempt: attemptSchema,
	prompt: z.string(),
	/** Tokens that earlier attempts already gave. */
	given: z.array(count),
});
export type StageRun = z.infer<typeof stageRunSchema>;

/** Sent to a stage that keeps its state, once every stage of the attempt is open. */
export const stageResumeSchema = z.object({
	type: z.literal('stageResume'),
	request: requestIdSchema,
	attempt: attemptSchema,
	/** Send every retained activation, since the next stage starts without state. */
	replay: z.boolean(),
});
export type StageResume = z.infer<typeof stageResumeSchema>;

/** What one stage passes to the next: a value for each input of the positions. */
export const activationSchema = z.object({
	type: z.literal('activation'),
	request: requestIdSchema,
	attempt: attemptSchema,
	/** Index of the stage that is to run it. */
	index: count,
	/** First position that the values cover. */
	first: positionSchema,
	/** Last position that the values cover. */
	position: positionSchema,
	values: z.array(count),
});
export type Activation = z.infer<typeof activationSchema>;

/** A token of the answer: to the entry, and to the first stage as its next input. */
export const tokenSchema = z.object({
	type: z.literal('token'),
	request: requestIdSchema,
	attempt: attemptSchema,
	position: positionSchema,
	token: count,
	text: z.string(),
	finish: z.enum(['stop', 'length']).optional(),
	promptTokens: count.optional(),
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
	permitAskSchema,
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

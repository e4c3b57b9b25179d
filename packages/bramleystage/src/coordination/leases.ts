/**
 * A lease by the platform's log. A claim names the last valid record of the
 * lease that its author has seen; it is valid only if that is still the last,
 * so of two claims at once the first in the log wins. The fencing number is the
 * offset of the claim. A holder renews; its own deadline counts from before the
 * request was sent, and others wait at least as long from when they read it, so
 * they never overlap while clocks run at the same rate. Where they do not, the
 * fence at the agents decides.
 */
import * as z from 'zod';
import type {Decision, Milliseconds} from '../protocol/decision.js';
import {
	type FencingNumber,
	fencingNumberSchema,
	hostIdSchema,
	incarnationSchema,
	type LogOffset,
	logOffsetSchema,
	toFencingNumber,
} from '../protocol/ids.js';

/** A record of a lease's stream. */
export const leaseRecordSchema = z.object({
	kind: z.literal('lease'),
	format: z.literal(1),
	/** Names this request; chosen by its author before the append. */
	request: z.string().min(1).max(200),
	host: hostIdSchema,
	incarnation: incarnationSchema,
	/** The last valid record that the author has seen; null if there was none. */
	previous: logOffsetSchema.nullable(),
	/** Number of the lease that is renewed; null for a claim. */
	renews: fencingNumberSchema.nullable(),
	ttlMs: z.number().positive().max(3_600_000),
});
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** The lease as the log says. */
export type LeaseGrant = {
	readonly number: FencingNumber;
	/** Offset of the last valid record. */
	readonly last: LogOffset;
	readonly holder: Pick<LeaseRecord, 'host' | 'incarnation'>;
	readonly ttlMs: number;
};

/** A request that this process has sent and not seen in the log. */
type SentRequest = {
	readonly request: string;
	readonly sentAt: Milliseconds;
};

export type LeaseState = {
	readonly grant: LeaseGrant | undefined;
	/** When this process read the last valid record, or started. */
	readonly readAt: Milliseconds;
	readonly sent: readonly SentRequest[];
	/** The lease that this process holds, until its own deadline. */
	readonly held:
		{readonly number: FencingNumber; readonly until: Milliseconds} | undefined;
};

export type LeaseEvent =
	| {
			readonly type: 'record';
			readonly offset: LogOffset;
			readonly value: unknown;
	  }
	/** The present time alone; `request` names a request if one is to be sent. */
	| {readonly type: 'tick'; readonly request: string};

export type LeaseCommand =
	| {readonly type: 'append'; readonly record: LeaseRecord}
	| {readonly type: 'acquired'; readonly number: FencingNumber}
	| {readonly type: 'lost'; readonly number: FencingNumber};

export type LeaseOptions = Pick<
	LeaseRecord,
	'host' | 'incarnation' | 'ttlMs'
> & {
	/** Others wait this much longer than the lease, for clocks' drift. */
	readonly marginMs: number;
};

/** A request without a sign in the log is repeated after this share of the lease. */
const renewShare = 1 / 3;
const maxSent = 8;

export const createLease = (now: Milliseconds): LeaseState => ({
	grant: undefined,
	readAt: now,
	sent: [],
	held: undefined,
});

/** Gives the number under which orders may be sent now, if any. */
export const findHeldNumber = (
	{held}: LeaseState,
	now: Milliseconds,
): FencingNumber | undefined =>
	held && now < held.until ? held.number : undefined;

export function decideLease(
	state: LeaseState,
	event: LeaseEvent,
	options: LeaseOptions,
	now: Milliseconds,
): Decision<LeaseState, LeaseCommand> {
	const [current, commands] = updateHeld(state, now);
	const [next, more] =
		event.type === 'record'
			? applyRecord(current, event.offset, event.value, now)
			: sendIfDue(current, event.request, options, now);
	return [next, [...commands, ...more]];
}

function updateHeld(
	state: LeaseState,
	now: Milliseconds,
): Decision<LeaseState, LeaseCommand> {
	const {held} = state;
	return held && now >= held.until
		? [{...state, held: undefined}, [{type: 'lost', number: held.number}]]
		: [state, []];
}

/** Folds one record of the stream; every process grants alike. */
export function foldLease(
	grant: LeaseGrant | undefined,
	offset: LogOffset,
	value: unknown,
): LeaseGrant | undefined {
	const parsed = leaseRecordSchema.safeParse(value);
	if (!parsed.success || parsed.data.previous !== (grant?.last ?? null)) {
		return grant;
	}

	const {renews, host, incarnation, ttlMs} = parsed.data;
	if (renews === null) {
		const number = toFencingNumber(offset);
		return {number, last: offset, holder: {host, incarnation}, ttlMs};
	}

	return grant?.number === renews && grant.holder.incarnation === incarnation
		? {...grant, last: offset, ttlMs}
		: grant;
}

function applyRecord(
	state: LeaseState,
	offset: LogOffset,
	value: unknown,
	now: Milliseconds,
): Decision<LeaseState, LeaseCommand> {
	const grant = foldLease(state.grant, offset, value);
	if (!grant || grant === state.grant) {
		return [state, []];
	}

	const {request, ttlMs} = leaseRecordSchema.parse(value);
	const sent = state.sent.find((each) => each.request === request);
	const next = {...state, grant, readAt: now, sent: []};
	const {held} = state;
	if (!sent) {
		return held && held.number !== grant.number
			? [{...next, held: undefined}, [{type: 'lost', number: held.number}]]
			: [next, []];
	}

	const until = sent.sentAt + ttlMs;
	if (now >= until) {
		return [next, []];
	}

	return [
		{...next, held: {number: grant.number, until}},
		held ? [] : [{type: 'acquired', number: grant.number}],
	];
}

function sendIfDue(
	state: LeaseState,
	request: string,
	options: LeaseOptions,
	now: Milliseconds,
): Decision<LeaseState, LeaseCommand> {
	const {grant, held, readAt, sent} = state;
	const {host, incarnation, ttlMs, marginMs} = options;
	const waitMs = ttlMs * renewShare;
	const isDue = held
		? now >= held.until - ttlMs + waitMs
		: now - readAt >= (grant?.ttlMs ?? ttlMs) + marginMs;
	const last = sent.at(-1);
	if (!isDue || (last && now - last.sentAt < waitMs)) {
		return [state, []];
	}

	const record: LeaseRecord = {
		kind: 'lease',
		format: 1,
		request,
		host,
		incarnation,
		previous: grant?.last ?? null,
		renews: held ? held.number : null,
		ttlMs,
	};
	const recent = [...sent, {request, sentAt: now}].slice(-maxSent);
	return [{...state, sent: recent}, [{type: 'append', record}]];
}

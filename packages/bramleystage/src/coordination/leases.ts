/**
 * Leases on top of the platform's log. A record is a claim or a renewal. It
 * names the last valid record of the lease that its author has read, and is
 * valid only if no other valid record came in between (compare and swap). Of two
 * concurrent claims, the first in the log wins. The fencing token of a lease is
 * the offset of its claim.
 *
 * The holder counts its deadline from before it sent the request. Other
 * processes wait at least as long from when they read the record. Two holders
 * therefore never overlap while clocks run at the same rate. If clocks drift
 * apart, the agents still reject orders with a lower fencing token (`fence.ts`).
 */
import * as z from 'zod';
import type {Decision, Milliseconds} from '../protocol/decision.js';
import {
	type FencingToken,
	fencingTokenSchema,
	hostIdSchema,
	incarnationSchema,
	type LogOffset,
	logOffsetSchema,
	toFencingToken,
} from '../protocol/ids.js';

/** A claim or renewal in the stream of a lease. */
export const leaseRecordSchema = z.object({
	kind: z.literal('lease'),
	format: z.literal(1),
	/** Identifies this request; chosen by its author before the append. */
	request: z.string().min(1).max(200),
	host: hostIdSchema,
	incarnation: incarnationSchema,
	/** Offset of the last valid record that the author has read; null if there was none. */
	previous: logOffsetSchema.nullable(),
	/** Fencing token of the lease that is renewed; null for a claim. */
	renews: fencingTokenSchema.nullable(),
	ttlMs: z.number().positive().max(3_600_000),
});
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** The lease according to the log. */
export type LeaseGrant = {
	readonly number: FencingToken;
	/** Offset of the last valid record. */
	readonly last: LogOffset;
	readonly holder: Pick<LeaseRecord, 'host' | 'incarnation'>;
	readonly ttlMs: number;
};

/** A request that this process has sent but not yet read in the log. */
type SentRequest = {
	readonly request: string;
	readonly sentAt: Milliseconds;
};

/** The state of a process that takes part in a lease. */
export type LeaseState = {
	readonly grant: LeaseGrant | undefined;
	/** When this process read the last valid record, or when it started. */
	readonly readAt: Milliseconds;
	readonly sent: readonly SentRequest[];
	/** The lease that this process holds; `until` is its deadline. */
	readonly held:
		{readonly number: FencingToken; readonly until: Milliseconds} | undefined;
};

export type LeaseEvent =
	| {
			readonly type: 'record';
			readonly offset: LogOffset;
			readonly value: unknown;
	  }
	/** Time has passed; `request` is the identifier to use if a request is due. */
	| {readonly type: 'tick'; readonly request: string};

export type LeaseCommand =
	| {readonly type: 'append'; readonly record: LeaseRecord}
	| {readonly type: 'acquired'; readonly number: FencingToken}
	| {readonly type: 'lost'; readonly number: FencingToken};

export type LeaseOptions = Pick<
	LeaseRecord,
	'host' | 'incarnation' | 'ttlMs'
> & {
	/** Time that other processes wait beyond the lease, to allow for clock drift. */
	readonly marginMs: number;
};

/**
 * Fraction of the lease duration after which the holder renews the lease, and
 * after which a request that has not appeared in the log is sent again.
 */
const renewIntervalShare = 1 / 3;
/** Maximum number of sent requests that are remembered; older ones are dropped. */
const maxPendingRequests = 8;

export const createLease = (now: Milliseconds): LeaseState => ({
	grant: undefined,
	readAt: now,
	sent: [],
	held: undefined,
});

/** Returns the fencing token under which orders may be sent now, or undefined. */
export const findHeldToken = (
	{held}: LeaseState,
	now: Milliseconds,
): FencingToken | undefined =>
	held && now < held.until ? held.number : undefined;

/** Handles an event: claims, renews, acquires or loses the lease. */
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

/** Drops a held lease whose deadline has passed. */
function updateHeld(
	state: LeaseState,
	now: Milliseconds,
): Decision<LeaseState, LeaseCommand> {
	const {held} = state;
	return held && now >= held.until
		? [{...state, held: undefined}, [{type: 'lost', number: held.number}]]
		: [state, []];
}

/**
 * Folds one record into the lease; invalid records leave it unchanged. All
 * processes that read the same log get the same result.
 */
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
		const number = toFencingToken(offset);
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

/** Sends a claim or renewal if one is due and none was sent recently. */
function sendIfDue(
	state: LeaseState,
	request: string,
	options: LeaseOptions,
	now: Milliseconds,
): Decision<LeaseState, LeaseCommand> {
	const {grant, held, readAt, sent} = state;
	const {host, incarnation, ttlMs, marginMs} = options;
	const intervalMs = ttlMs * renewIntervalShare;
	const isDue = held
		? now >= held.until - ttlMs + intervalMs
		: now - readAt >= (grant?.ttlMs ?? ttlMs) + marginMs;
	const last = sent.at(-1);
	if (!isDue || (last && now - last.sentAt < intervalMs)) {
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
	const recent = [...sent, {request, sentAt: now}].slice(-maxPendingRequests);
	return [{...state, sent: recent}, [{type: 'append', record}]];
}

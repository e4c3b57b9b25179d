/**
 * Claims on callers' idempotency keys. Before a keyed call runs, its agent
 * appends a claim to the log's `claims` stream. Every agent folds the stream in
 * the same order. A claim owns its key if the key had no owner when the claim
 * was appended. It owns the key until an agent whose call did not run releases
 * it, or the key expires. A claim may be appended twice, when the reply to the
 * first append is lost; both records stand for the same claim.
 */
import * as z from 'zod';
import type {Milliseconds} from '../protocol/decision.js';
import {
	hostIdSchema,
	incarnationSchema,
	requestIdSchema,
} from '../protocol/ids.js';
import type {Call, CallAnswer} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';

/** Name of the log stream that holds the claims. */
export const claimStream = 'claims';

/** How long a key identifies the same request, in milliseconds. */
export const idempotencyKeyLifetimeMs = 900_000;

/** Maximum number of keys that one agent keeps, at about 400 bytes each. */
export const maxClaimedKeys = 200_000;

const maxKeyLength = 1000;

export const claimSchema = z.object({
	/** Service, customer and the caller's key, as `formatClaimKey` joins them. */
	key: z.string().max(maxKeyLength),
	request: requestIdSchema,
	host: hostIdSchema,
	incarnation: incarnationSchema,
	/** Digest of the request, which distinguishes a repeat from a reused key. */
	digest: z.string().max(100),
});
export type Claim = z.infer<typeof claimSchema>;

/** One record of the stream; its releases are applied before its claims. */
export const claimRecordSchema = z.object({
	kind: z.literal('claims'),
	format: z.literal(1),
	claims: z.array(claimSchema),
	released: z.array(claimSchema),
});
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** Builds the key under which a call is claimed. */
export const formatClaimKey = ({
	service,
	customer,
	idempotencyKey,
}: Pick<Call, 'service' | 'customer' | 'idempotencyKey'>) =>
	JSON.stringify([service, customer, idempotencyKey]);

/**
 * Tells whether a call's key must be claimed before the call runs: it has a key
 * and is not idempotent.
 */
export const isClaimRequired = (
	call: Pick<Call, 'idempotencyKey' | 'idempotent'>,
): boolean => call.idempotencyKey !== undefined && !call.idempotent;

type KeyOwner = {
	readonly claim: Claim;
	readonly until: Milliseconds;
};

/** Owners of idempotency keys, derived from the records of the log. */
export class ClaimRegistry {
	readonly #owners = new Map<string, KeyOwner>();

	get size(): number {
		return this.#owners.size;
	}

	get isFull(): boolean {
		return this.#owners.size >= maxClaimedKeys;
	}

	/** Applies the next record of the stream. */
	fold(record: ClaimRecord, now: Milliseconds): void {
		for (const claim of record.released) {
			if (isSameClaim(this.findOwner(claim.key, now), claim)) {
				this.#owners.delete(claim.key);
			}
		}

		for (const claim of record.claims) {
			// A later claim extends the lifetime of the key: clocks differ, so an
			// agent for which the first claim has already expired may run the later
			// one.
			const owner = this.findOwner(claim.key, now) ?? claim;
			const until = now + idempotencyKeyLifetimeMs;
			this.#owners.set(claim.key, {claim: owner, until});
		}
	}

	findOwner(key: string, now: Milliseconds): Claim | undefined {
		const owner = this.#owners.get(key);
		return owner && owner.until > now ? owner.claim : undefined;
	}

	/** Removes expired keys. */
	sweep(now: Milliseconds): void {
		for (const [key, {until}] of this.#owners) {
			if (until <= now) {
				this.#owners.delete(key);
			}
		}
	}
}

/** How the call that owns a key ended, as far as the agent knows. */
export type ClaimEnd =
	| {readonly type: 'answered'; readonly answer: CallAnswer}
	| {readonly type: 'failed'; readonly failure: Failure};

export type ClaimResult =
	/** The claim owns the key: the call may run. */
	| {readonly type: 'claimed'}
	/** The call is a repeat, and `answer` is the recorded answer. */
	| {readonly type: 'repeated'; readonly answer: CallAnswer}
	| {readonly type: 'refused'; readonly failure: Failure};

/**
 * Decides the result of a claim from the key's owner and the end of the owner's
 * call, if known.
 */
export function decideClaim(
	claim: Claim,
	owner: Claim,
	end: ClaimEnd | undefined,
): ClaimResult {
	if (isSameClaim(owner, claim)) {
		return {type: 'claimed'};
	}

	if (owner.digest !== claim.digest) {
		const detail = 'The idempotency key was used with another request.';
		return {type: 'refused', failure: createFailure('keyReused', detail)};
	}

	if (end?.type === 'answered') {
		const {request} = claim;
		return {type: 'repeated', answer: {...end.answer, request}};
	}

	const failure = createFailure(
		'keyInUse',
		end
			? `The first request with this key ended as ${end.failure.result}.`
			: 'The first request with this key is running, or its outcome is not known here.',
		{outcome: end?.failure.outcome === 'ran' ? 'ran' : 'unknown'},
	);
	return {type: 'refused', failure};
}

/**
 * Tells whether two records stand for the same claim, which may have been
 * appended twice.
 */
export function isSameClaim(a: Claim | undefined, b: Claim): boolean {
	return (
		a?.key === b.key &&
		a.request === b.request &&
		a.host === b.host &&
		a.incarnation === b.incarnation
	);
}

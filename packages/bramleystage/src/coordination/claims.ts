/**
 * Claims of callers' idempotency keys. Before a keyed call runs, its agent
 * appends a claim to the log's `claims` stream. Every agent folds the stream in
 * the same order: a claim owns its key if no other did when it was appended,
 * until it is released by an agent whose call did not run, or the key's
 * lifetime is over. A claim that was appended twice, since the answer to the
 * first append was lost, is the same claim.
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

/** Stream of the log that claims are kept in. */
export const claimStream = 'claims';

/** How long a key names the same request, in milliseconds. */
export const keyLifetimeMs = 900_000;

/** Keys remembered at most by one agent, about 400 bytes each. */
export const maxClaimedKeys = 200_000;

const maxKeyLength = 1000;

export const claimSchema = z.object({
	/** Service, customer and the caller's key. */
	key: z.string().max(maxKeyLength),
	request: requestIdSchema,
	host: hostIdSchema,
	incarnation: incarnationSchema,
	/** Digest of the request, to tell a repeat from a reused key. */
	digest: z.string().max(100),
});
export type Claim = z.infer<typeof claimSchema>;

/** One record of the stream: releases are folded before claims. */
export const claimRecordSchema = z.object({
	kind: z.literal('claims'),
	format: z.literal(1),
	claims: z.array(claimSchema),
	released: z.array(claimSchema),
});
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** Composes the key of a call as claims name it. */
export const formatClaimKey = ({
	service,
	customer,
	idempotencyKey,
}: Pick<Call, 'service' | 'customer' | 'idempotencyKey'>) =>
	JSON.stringify([service, customer, idempotencyKey]);

/** Tells whether a call has to be claimed before it runs. */
export const isClaimed = (
	call: Pick<Call, 'idempotencyKey' | 'idempotent'>,
): boolean => call.idempotencyKey !== undefined && !call.idempotent;

type Owner = {
	readonly claim: Claim;
	readonly until: Milliseconds;
};

/** The owners of keys, as the log's records give them. */
export class ClaimBook {
	readonly #owners = new Map<string, Owner>();

	get size(): number {
		return this.#owners.size;
	}

	get isFull(): boolean {
		return this.#owners.size >= maxClaimedKeys;
	}

	/** Folds the next record of the stream. */
	fold(record: ClaimRecord, now: Milliseconds): void {
		for (const claim of record.released) {
			if (isSameClaim(this.findOwner(claim.key, now), claim)) {
				this.#owners.delete(claim.key);
			}
		}

		for (const claim of record.claims) {
			// A later claim prolongs the key: clocks differ, and an agent that saw
			// the first one lapse earlier may let the later one run.
			const first = this.findOwner(claim.key, now) ?? claim;
			const until = now + keyLifetimeMs;
			this.#owners.set(claim.key, {claim: first, until});
		}
	}

	findOwner(key: string, now: Milliseconds): Claim | undefined {
		const owner = this.#owners.get(key);
		return owner && owner.until > now ? owner.claim : undefined;
	}

	/** Forgets keys whose lifetime is over. */
	sweep(now: Milliseconds): void {
		for (const [key, {until}] of this.#owners) {
			if (until <= now) {
				this.#owners.delete(key);
			}
		}
	}
}

/** How the call of an owner ended, as far as its agent knows. */
export type ClaimEnd =
	| {readonly type: 'answered'; readonly answer: CallAnswer}
	| {readonly type: 'failed'; readonly failure: Failure};

export type ClaimVerdict =
	/** The claim is the first: the call may run. */
	| {readonly type: 'claimed'}
	/** The call is a repeat, and this is its recorded answer. */
	| {readonly type: 'repeated'; readonly answer: CallAnswer}
	| {readonly type: 'refused'; readonly failure: Failure};

/** Decides what the owner of a key means for a claim of it. */
export function decideClaim(
	claim: Claim,
	owner: Claim,
	end: ClaimEnd | undefined,
): ClaimVerdict {
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

/** Tells whether two records are of one claim, appended twice perhaps. */
export function isSameClaim(a: Claim | undefined, b: Claim): boolean {
	return (
		a?.key === b.key &&
		a.request === b.request &&
		a.host === b.host &&
		a.incarnation === b.incarnation
	);
}

/**
 * Permits of one entry. It grants permits from the entry's own share of each
 * limit, requests them from other owners when that share is used up, and answers
 * the permit requests of other entries. It reads no clock and opens no socket:
 * time, messages and log appends go through the functions passed in, so that
 * daemons, tests and benchmarks run the same code.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {HostId, Incarnation} from '../protocol/ids.js';
import {
	type LimitKey,
	type PermitAnswer,
	type PermitMessage,
	type PermitNumber,
	toPermitNumber,
} from '../protocol/limits.js';
import {formatPermitHolder, ratePermitValidityMs} from './limit-ledger.js';
import type {Limit, LimitMember} from './limit-members.js';
import {
	LimitMembership,
	type LimitMembershipOptions,
} from './limit-membership.js';
import {LimitOwner} from './limit-owner.js';

/** A permit, which its holder keeps until the permitted work has ended. */
export type Permit = {
	readonly number: PermitNumber;
	readonly limit: Limit;
	/**
	 * Owner that granted the permit; undefined if it came from the entry's own
	 * share.
	 */
	readonly owner: LimitMember | undefined;
};

export type AcquireResult =
	| {readonly granted: true; readonly permit: Permit}
	| {readonly granted: false; readonly retryAfterMs: Milliseconds};

export type LimitManagerOptions = LimitMembershipOptions & {
	readonly readClock: () => Milliseconds;
	/**
	 * Sends to another entry; returns false if that entry is unreachable at the
	 * moment.
	 */
	readonly send: (host: HostId, message: PermitMessage) => boolean;
	readonly findLimit: (key: LimitKey) => Limit | undefined;
};

type PendingRequest = {
	readonly number: PermitNumber;
	readonly limit: Limit;
	readonly amount: number;
	readonly done: (result: AcquireResult) => void;
	readonly requestedAt: Milliseconds;
	readonly owner: LimitMember;
	/** Owners to try after this one, in order. */
	readonly remainingOwners: readonly LimitMember[];
	readonly retryAfterMs: Milliseconds;
};

type Peer = {readonly host: HostId; readonly incarnation: Incarnation};

/** Time after which an owner that has not answered is skipped. */
const ownerAnswerTimeoutMs = 2 * ratePermitValidityMs;

/** Interval at which owners get a report of their permits that are still held. */
const heldReportIntervalMs = 2000;

export class LimitManager {
	readonly membership: LimitMembership;
	readonly #owner: LimitOwner;
	readonly #pendingRequests = new Map<PermitNumber, PendingRequest>();
	/** Concurrent permits that this entry's requests hold. */
	readonly #held = new Map<PermitNumber, Permit>();
	/**
	 * Owners that were asked for concurrent permits and may still count some as
	 * held.
	 */
	readonly #contactedOwners = new Set<HostId>();
	#lastHeldReportAt: Milliseconds = 0;
	#lastNumber = 0;

	constructor(private readonly options: LimitManagerOptions) {
		this.membership = new LimitMembership(options, options.readClock());
		this.#owner = new LimitOwner({
			findLimit: options.findLimit,
			findUsableShare: (limit) => this.membership.findUsableShare(limit),
		});
	}

	/** Summary for the state dump. */
	get summary(): object {
		return {
			epoch: this.membership.state.epoch,
			members: this.membership.members,
			ledgers: this.#owner.size,
			permitsHeld: this.#held.size,
			isStale: this.membership.isStale,
		};
	}

	/**
	 * Runs periodic work: request timeouts, reports of held permits, and log
	 * appends. Call it several times a second.
	 */
	tick(): void {
		const now = this.options.readClock();
		this.membership.detectPause(now);
		for (const pending of this.#pendingRequests.values()) {
			if (now > pending.requestedAt + ownerAnswerTimeoutMs) {
				this.#requestFromNext(pending, now);
			}
		}

		if (now >= this.#lastHeldReportAt + heldReportIntervalMs) {
			this.#lastHeldReportAt = now;
			this.#sendHeldReports();
		}

		this.membership.tick(now, () => ({
			heldPermitOwners: this.#listHeldPermitOwners(),
			isWithinShares: this.#owner.isWithinShares(),
		}));
	}

	/**
	 * Acquires a permit for an amount of a limit; calls `done` exactly once,
	 * synchronously or later.
	 */
	acquire(
		limit: Limit,
		amount: number,
		done: (result: AcquireResult) => void,
	): void {
		const now = this.options.readClock();
		this.membership.detectPause(now);
		const number = this.#createNumber();
		const ownResult = this.#owner.decide(
			limit,
			{
				holder: formatPermitHolder(this.options.self.incarnation, number),
				kind: limit.kind,
				amount,
				validityMs: 0,
			},
			now,
		);
		if (ownResult.granted) {
			this.#grant({number, limit, owner: undefined}, done);
			return;
		}

		const remainingOwners = this.membership.listOtherOwners(limit);
		const {retryAfterMs} = ownResult;
		this.#requestPermit(
			{number, limit, amount, done, remainingOwners, retryAfterMs},
			now,
		);
	}

	/**
	 * Ends a permit. A concurrent permit frees its amount; the charge of a rate
	 * permit stays.
	 */
	release({number, limit, owner}: Permit): void {
		if (!this.#held.delete(number)) {
			return;
		}

		const {key} = limit;
		if (owner) {
			this.options.send(owner.host, {type: 'permitRelease', number, key});
		} else {
			this.#owner.release(key, this.options.self.incarnation, number);
		}
	}

	/**
	 * Ends the permits of an incarnation whose requests are known to have ended.
	 */
	releaseIncarnation(incarnation: Incarnation): void {
		this.#owner.releaseIncarnation(incarnation);
	}

	/** Handles a permit message of another entry. */
	receive(from: Peer, message: PermitMessage): void {
		const now = this.options.readClock();
		this.membership.detectPause(now);
		switch (message.type) {
			case 'permitAsk': {
				const answer = this.#owner.answer(from.incarnation, message, now);
				this.options.send(from.host, answer);
				break;
			}

			case 'permitAnswer': {
				this.#receiveAnswer(from, message, now);
				break;
			}

			case 'permitRelease': {
				const {key, number} = message;
				this.#owner.release(key, from.incarnation, number);
				break;
			}

			case 'permitHeld': {
				this.#owner.releaseUnheld(from.incarnation, message);
				break;
			}
		}
	}

	#createNumber(): PermitNumber {
		this.#lastNumber++;
		return toPermitNumber(this.#lastNumber);
	}

	#grant(permit: Permit, done: (result: AcquireResult) => void): void {
		if (permit.limit.kind === 'concurrent') {
			this.#held.set(permit.number, permit);
		}

		done({granted: true, permit});
	}

	#requestPermit(
		pending: Omit<PendingRequest, 'requestedAt' | 'owner'>,
		now: Milliseconds,
	): void {
		const [owner, ...remainingOwners] = pending.remainingOwners;
		if (!owner) {
			pending.done({granted: false, retryAfterMs: pending.retryAfterMs});
			return;
		}

		const {number, amount} = pending;
		const {key, kind} = pending.limit;
		const message = {type: 'permitAsk', number, key, kind, amount} as const;
		if (!this.options.send(owner.host, message)) {
			this.#requestPermit({...pending, remainingOwners}, now);
			return;
		}

		this.#pendingRequests.set(number, {
			...pending,
			owner,
			remainingOwners,
			requestedAt: now,
		});
		if (kind === 'concurrent') {
			this.#contactedOwners.add(owner.host);
		}
	}

	/**
	 * Requests the permit from the next owner, and releases the one that the
	 * previous owner may have granted.
	 */
	#requestFromNext(pending: PendingRequest, now: Milliseconds): void {
		const {number, limit, owner} = pending;
		this.#pendingRequests.delete(number);
		if (limit.kind === 'concurrent') {
			const {key} = limit;
			this.options.send(owner.host, {type: 'permitRelease', number, key});
		}

		this.#requestPermit({...pending, number: this.#createNumber()}, now);
	}

	#receiveAnswer(
		{incarnation}: Peer,
		{number, granted, retryAfterMs}: PermitAnswer,
		now: Milliseconds,
	): void {
		const pending = this.#pendingRequests.get(number);
		if (pending?.owner.incarnation !== incarnation) {
			return;
		}

		const {limit, owner, done, requestedAt} = pending;
		// A grant that arrives late is not used: its validity may be over, or the
		// owner may have revoked it, as for a host that is gone.
		const validMs =
			limit.kind === 'concurrent' ? ownerAnswerTimeoutMs : ratePermitValidityMs;
		const isInTime = now <= requestedAt + validMs;
		if (granted && isInTime) {
			this.#pendingRequests.delete(number);
			this.#grant({number, limit, owner}, done);
			return;
		}

		const shortestRetryMs = granted
			? pending.retryAfterMs
			: Math.min(pending.retryAfterMs, retryAfterMs);
		this.#requestFromNext({...pending, retryAfterMs: shortestRetryMs}, now);
	}

	/**
	 * Reports to each owner that was asked which of its concurrent permits are
	 * still held.
	 */
	#sendHeldReports(): void {
		const upTo = toPermitNumber(this.#lastNumber);
		for (const host of this.#contactedOwners) {
			const numbers = [
				...this.#held.values(),
				...this.#pendingRequests.values(),
			]
				.filter(({owner}) => owner?.host === host)
				.map(({number}) => number);
			this.options.send(host, {type: 'permitHeld', upTo, numbers});
			if (numbers.length === 0) {
				this.#contactedOwners.delete(host);
			}
		}
	}

	/**
	 * Lists the incarnations that granted the concurrent permits that are still
	 * held.
	 */
	#listHeldPermitOwners(): Set<Incarnation> {
		const {incarnation} = this.options.self;
		return new Set(
			[...this.#held.values()].map(
				({owner}) => owner?.incarnation ?? incarnation,
			),
		);
	}
}

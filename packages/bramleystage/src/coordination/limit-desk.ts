/**
 * Permits of one entry: admits out of its own parts of the limits, asks other
 * owners when its own part is used up, and answers what other entries ask. It
 * reads no clock and opens no socket: time, messages and appends go through the
 * functions passed in, so daemons, tests and benches drive the same code.
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
import {formatHolder, permitValidityMs} from './limit-ledger.js';
import type {Limit, LimitMember} from './limit-members.js';
import {
	LimitMembership,
	type LimitMembershipOptions,
} from './limit-membership.js';
import {LimitOwner} from './limit-owner.js';

/** A permit as its holder keeps it until the work is over. */
export type Permit = {
	readonly number: PermitNumber;
	readonly limit: Limit;
	/** Nothing when the entry gave it to itself. */
	readonly owner: LimitMember | undefined;
};

export type AcquireResult =
	| {readonly granted: true; readonly permit: Permit}
	| {readonly granted: false; readonly retryAfterMs: Milliseconds};

export type LimitDeskOptions = LimitMembershipOptions & {
	readonly readClock: () => Milliseconds;
	/** Sends to another entry; false when there is no way to it now. */
	readonly send: (host: HostId, message: PermitMessage) => boolean;
	readonly findLimit: (key: LimitKey) => Limit | undefined;
};

type Ask = {
	readonly number: PermitNumber;
	readonly limit: Limit;
	readonly amount: number;
	readonly done: (result: AcquireResult) => void;
	readonly askedAt: Milliseconds;
	readonly owner: LimitMember;
	/** Owners to ask after this one. */
	readonly left: readonly LimitMember[];
	readonly retryAfterMs: Milliseconds;
};

type Peer = {readonly host: HostId; readonly incarnation: Incarnation};

/** An owner that does not answer within this time is passed over. */
const askTimeoutMs = 2 * permitValidityMs;

/** Interval at which owners are told what is still held of them. */
const heldIntervalMs = 2000;

export class LimitDesk {
	readonly membership: LimitMembership;
	readonly #owner: LimitOwner;
	readonly #asks = new Map<PermitNumber, Ask>();
	/** Concurrent permits of this entry's requests. */
	readonly #held = new Map<PermitNumber, Permit>();
	/** Owners that were asked for concurrent permits lately. */
	readonly #askedOwners = new Set<HostId>();
	#lastHeldAt: Milliseconds = 0;
	#lastNumber = 0;

	constructor(private readonly options: LimitDeskOptions) {
		this.membership = new LimitMembership(options, options.readClock());
		this.#owner = new LimitOwner({
			findLimit: options.findLimit,
			findPart: (limit) => this.membership.findPart(limit),
		});
	}

	/** What this desk knows, for the state dump. */
	get summary(): object {
		return {
			epoch: this.membership.state.epoch,
			members: this.membership.members,
			ledgers: this.#owner.size,
			permitsHeld: this.#held.size,
			isStale: this.membership.isStale,
		};
	}

	/** Joins, confirms and gives up late asks; to be called several times a second. */
	tick(): void {
		const now = this.options.readClock();
		this.membership.noticePause(now);
		for (const ask of this.#asks.values()) {
			if (now > ask.askedAt + askTimeoutMs) {
				this.#askNext(ask, now);
			}
		}

		if (now >= this.#lastHeldAt + heldIntervalMs) {
			this.#lastHeldAt = now;
			this.#sendHeld();
		}

		this.membership.tick(now, () => ({
			holdsFrom: this.#listHeldFrom(),
			isWithinParts: this.#owner.isWithinParts(),
		}));
	}

	/** Acquires part of a limit; `done` is called once, at once or later. */
	acquire(
		limit: Limit,
		amount: number,
		done: (result: AcquireResult) => void,
	): void {
		const now = this.options.readClock();
		this.membership.noticePause(now);
		const number = this.#createNumber();
		const own = this.#owner.decide(
			limit,
			{
				holder: formatHolder(this.options.self.incarnation, number),
				kind: limit.kind,
				amount,
				validityMs: 0,
			},
			now,
		);
		if (own.granted) {
			this.#grant({number, limit, owner: undefined}, done);
			return;
		}

		const left = this.membership.listOtherOwners(limit);
		const {retryAfterMs} = own;
		this.#ask({number, limit, amount, done, left, retryAfterMs}, now);
	}

	/** Ends a permit: concurrent ones make room again, rates stay charged. */
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

	/** Ends what an incarnation held whose requests are known to have ended. */
	releaseGone(incarnation: Incarnation): void {
		this.#owner.releaseGone(incarnation);
	}

	/** Takes a message of another entry. */
	receive(from: Peer, message: PermitMessage): void {
		const now = this.options.readClock();
		this.membership.noticePause(now);
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

	#ask(ask: Omit<Ask, 'askedAt' | 'owner'>, now: Milliseconds): void {
		const [owner, ...left] = ask.left;
		if (!owner) {
			ask.done({granted: false, retryAfterMs: ask.retryAfterMs});
			return;
		}

		const {number, amount} = ask;
		const {key, kind} = ask.limit;
		const message = {type: 'permitAsk', number, key, kind, amount} as const;
		if (!this.options.send(owner.host, message)) {
			this.#ask({...ask, left}, now);
			return;
		}

		this.#asks.set(number, {...ask, owner, left, askedAt: now});
		if (kind === 'concurrent') {
			this.#askedOwners.add(owner.host);
		}
	}

	/** Asks the next owner; what the last one may have given is handed back. */
	#askNext(ask: Ask, now: Milliseconds): void {
		const {number, limit, owner} = ask;
		this.#asks.delete(number);
		if (limit.kind === 'concurrent') {
			const {key} = limit;
			this.options.send(owner.host, {type: 'permitRelease', number, key});
		}

		this.#ask({...ask, number: this.#createNumber()}, now);
	}

	#receiveAnswer(
		{incarnation}: Peer,
		{number, granted, retryAfterMs}: PermitAnswer,
		now: Milliseconds,
	): void {
		const ask = this.#asks.get(number);
		if (ask?.owner.incarnation !== incarnation) {
			return;
		}

		const {limit, owner, done, askedAt} = ask;
		// A late grant may have been taken back since, as from a host that is gone.
		const validMs =
			limit.kind === 'concurrent' ? askTimeoutMs : permitValidityMs;
		const isInTime = now <= askedAt + validMs;
		if (granted && isInTime) {
			this.#asks.delete(number);
			this.#grant({number, limit, owner}, done);
			return;
		}

		const shortest = granted
			? ask.retryAfterMs
			: Math.min(ask.retryAfterMs, retryAfterMs);
		this.#askNext({...ask, retryAfterMs: shortest}, now);
	}

	/** Tells each owner that was asked which concurrent permits are still held. */
	#sendHeld(): void {
		const upTo = toPermitNumber(this.#lastNumber);
		for (const host of this.#askedOwners) {
			const numbers = [...this.#held.values(), ...this.#asks.values()]
				.filter(({owner}) => owner?.host === host)
				.map(({number}) => number);
			this.options.send(host, {type: 'permitHeld', upTo, numbers});
			if (numbers.length === 0) {
				this.#askedOwners.delete(host);
			}
		}
	}

	#listHeldFrom(): Set<Incarnation> {
		const {incarnation} = this.options.self;
		return new Set(
			[...this.#held.values()].map(
				({owner}) => owner?.incarnation ?? incarnation,
			),
		);
	}
}

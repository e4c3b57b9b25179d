/**
 * The owner's side of permits: the ledgers of this entry's shares of the
 * limits.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {Incarnation} from '../protocol/ids.js';
import type {
	LimitKey,
	PermitAnswer,
	PermitRequestMessage,
	PermitHeld,
	PermitNumber,
} from '../protocol/limits.js';
import {
	createLimitLedger,
	decidePermit,
	formatPermitHolder,
	type LimitLedger,
	measureHeld,
	ratePermitValidityMs,
	type PermitRequest,
	releaseIncarnation,
	releasePermit,
	releaseUnheld,
} from './limit-ledger.js';
import type {Limit} from './limit-members.js';

export type LimitOwnerOptions = {
	readonly findLimit: (key: LimitKey) => Limit | undefined;
	/** Returns the share of a limit that this entry may use at the moment. */
	readonly findUsableShare: (limit: Limit) => number;
};

export type PermitResult = {
	readonly granted: boolean;
	readonly retryAfterMs: Milliseconds;
};

export class LimitOwner {
	readonly #ledgers = new Map<LimitKey, LimitLedger>();

	constructor(private readonly options: LimitOwnerOptions) {}

	get size(): number {
		return this.#ledgers.size;
	}

	/** Grants a permit from the entry's own share, or returns when to try again. */
	decide(
		limit: Limit,
		request: PermitRequest,
		now: Milliseconds,
	): PermitResult {
		const ledger = this.#ledgers.get(limit.key) ?? createLimitLedger();
		const share = this.options.findUsableShare(limit);
		const [next, result] = decidePermit(ledger, request, share, now);
		if (next !== ledger) {
			this.#ledgers.set(limit.key, next);
		}

		return result;
	}

	/** Answers the permit request of another entry. */
	answer(
		incarnation: Incarnation,
		{number, key, amount}: PermitRequestMessage,
		now: Milliseconds,
	): PermitAnswer {
		const limit = this.options.findLimit(key);
		if (!limit) {
			return {type: 'permitAnswer', number, granted: false, retryAfterMs: 0};
		}

		const request: PermitRequest = {
			holder: formatPermitHolder(incarnation, number),
			kind: limit.kind,
			amount,
			validityMs: ratePermitValidityMs,
		};
		const result = this.decide(limit, request, now);
		return {type: 'permitAnswer', number, ...result};
	}

	/** Ends one concurrent permit. */
	release(key: LimitKey, incarnation: Incarnation, number: PermitNumber): void {
		const ledger = this.#ledgers.get(key);
		if (ledger) {
			const holder = formatPermitHolder(incarnation, number);
			this.#ledgers.set(key, releasePermit(ledger, holder));
		}
	}

	/**
	 * Ends the permits that an entry no longer holds but whose release message
	 * was lost.
	 */
	releaseUnheld(incarnation: Incarnation, {upTo, numbers}: PermitHeld): void {
		const held = new Set<number>(numbers);
		for (const [key, ledger] of this.#ledgers) {
			const next = releaseUnheld(ledger, incarnation, upTo, held);
			this.#ledgers.set(key, next);
		}
	}

	/**
	 * Ends the permits of an incarnation whose requests are known to have ended.
	 */
	releaseIncarnation(incarnation: Incarnation): void {
		for (const [key, ledger] of this.#ledgers) {
			this.#ledgers.set(key, releaseIncarnation(ledger, incarnation));
		}
	}

	/** Tells whether the held concurrent permits fit in the current shares. */
	isWithinShares(): boolean {
		return [...this.#ledgers].every(([key, ledger]) => {
			const limit = this.options.findLimit(key);
			const held = measureHeld(ledger);
			return (
				held === 0 ||
				(limit !== undefined && held <= this.options.findUsableShare(limit))
			);
		});
	}
}

/** The owner's side of permits: the ledgers of this entry's parts of the limits. */
import type {Milliseconds} from '../protocol/decision.js';
import type {Incarnation} from '../protocol/ids.js';
import type {
	LimitKey,
	PermitAnswer,
	PermitAsk,
	PermitHeld,
	PermitNumber,
} from '../protocol/limits.js';
import {
	createLimitLedger,
	decidePermit,
	formatHolder,
	type LimitLedger,
	measureHeld,
	permitValidityMs,
	type PermitRequest,
	releaseIncarnation,
	releasePermit,
	releaseUnheld,
} from './limit-ledger.js';
import type {Limit} from './limit-members.js';

export type LimitOwnerOptions = {
	readonly findLimit: (key: LimitKey) => Limit | undefined;
	/** The part of a limit that this entry may use now. */
	readonly findPart: (limit: Limit) => number;
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

	/** Gives a permit out of the own part, or says when to try again. */
	decide(
		limit: Limit,
		request: PermitRequest,
		now: Milliseconds,
	): PermitResult {
		const ledger = this.#ledgers.get(limit.key) ?? createLimitLedger();
		const part = this.options.findPart(limit);
		const [next, result] = decidePermit(ledger, request, part, now);
		if (next !== ledger) {
			this.#ledgers.set(limit.key, next);
		}

		return result;
	}

	/** Answers what another entry asks. */
	answer(
		incarnation: Incarnation,
		{number, key, amount}: PermitAsk,
		now: Milliseconds,
	): PermitAnswer {
		const limit = this.options.findLimit(key);
		if (!limit) {
			return {type: 'permitAnswer', number, granted: false, retryAfterMs: 0};
		}

		const request: PermitRequest = {
			holder: formatHolder(incarnation, number),
			kind: limit.kind,
			amount,
			validityMs: permitValidityMs,
		};
		const result = this.decide(limit, request, now);
		return {type: 'permitAnswer', number, ...result};
	}

	/** Ends one concurrent permit. */
	release(key: LimitKey, incarnation: Incarnation, number: PermitNumber): void {
		const ledger = this.#ledgers.get(key);
		if (ledger) {
			const holder = formatHolder(incarnation, number);
			this.#ledgers.set(key, releasePermit(ledger, holder));
		}
	}

	/** Ends the permits whose release was lost. */
	releaseUnheld(incarnation: Incarnation, {upTo, numbers}: PermitHeld): void {
		const held = new Set<number>(numbers);
		for (const [key, ledger] of this.#ledgers) {
			const next = releaseUnheld(ledger, incarnation, upTo, held);
			this.#ledgers.set(key, next);
		}
	}

	/** Ends what an incarnation held whose requests are known to have ended. */
	releaseGone(incarnation: Incarnation): void {
		for (const [key, ledger] of this.#ledgers) {
			this.#ledgers.set(key, releaseIncarnation(ledger, incarnation));
		}
	}

	/** Tells whether no more concurrent permits are given than the parts allow. */
	isWithinParts(): boolean {
		return [...this.#ledgers].every(([key, ledger]) => {
			const limit = this.options.findLimit(key);
			const held = measureHeld(ledger);
			return (
				held === 0 ||
				(limit !== undefined && held <= this.options.findPart(limit))
			);
		});
	}
}

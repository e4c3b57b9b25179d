/**
 * An owner's ledger of its share of one limit. A rate permit is charged when it
 * is granted and stays charged until one second after the last moment at which
 * it may be used, so that no one-second window exceeds the limit, whichever
 * entries admit the work. A permit for concurrent work is held until it is
 * released, or until its holder is known to be gone.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {Incarnation} from '../protocol/ids.js';
import type {LimitKind, PermitNumber} from '../protocol/limits.js';

/** Window over which rates are limited, in milliseconds. */
const windowMs = 1000;

/** How long after its request a rate permit may be used, in milliseconds. */
export const ratePermitValidityMs = 60;

/**
 * Charges that expire within the same slot of this length are merged, in
 * milliseconds.
 */
const chargeSlotMs = 5;

type Charge = {readonly until: Milliseconds; readonly amount: number};

/** Identifies a permit by its entry's incarnation and its number. */
export type PermitHolder = `${Incarnation}/${PermitNumber}`;

export type LimitLedger = {
	/** Charges of a rate, in the order of their expiry. */
	readonly charges: readonly Charge[];
	/** Amounts of concurrent permits by holder. */
	readonly holders: ReadonlyMap<PermitHolder, number>;
};

export const createLimitLedger = (): LimitLedger => ({
	charges: [],
	holders: new Map(),
});

export type PermitRequest = {
	readonly holder: PermitHolder;
	readonly kind: LimitKind;
	readonly amount: number;
	/**
	 * How long the permit may be used; 0 for work that this process admits
	 * immediately.
	 */
	readonly validityMs: Milliseconds;
};

export type PermitDecision = readonly [
	LimitLedger,
	{readonly granted: boolean; readonly retryAfterMs: Milliseconds},
];

const granted = {granted: true, retryAfterMs: 0} as const;

/** Decides whether a permit may be granted from a share of the limit. */
export function decidePermit(
	ledger: LimitLedger,
	request: PermitRequest,
	share: number,
	now: Milliseconds,
): PermitDecision {
	return request.kind === 'concurrent'
		? decideConcurrent(ledger, request, share)
		: decideRate(removeExpired(ledger, now), request, share, now);
}

function decideConcurrent(
	ledger: LimitLedger,
	{holder, amount}: PermitRequest,
	share: number,
): PermitDecision {
	if (ledger.holders.has(holder)) {
		return [ledger, granted];
	}

	if (measureHeld(ledger) + amount > share) {
		return [ledger, {granted: false, retryAfterMs: windowMs}];
	}

	const holders = new Map(ledger.holders).set(holder, amount);
	return [{...ledger, holders}, granted];
}

function decideRate(
	ledger: LimitLedger,
	{amount, validityMs}: PermitRequest,
	share: number,
	now: Milliseconds,
): PermitDecision {
	const used = measureCharged(ledger, now);
	const isOversize = amount > share && used === 0 && share > 0;
	if (used + amount > share && !isOversize) {
		return [
			ledger,
			{
				granted: false,
				retryAfterMs: computeRetryAfter(ledger, amount, share, now),
			},
		];
	}

	// Work larger than the share takes all of it for as many windows as the
	// amount needs.
	const windows = isOversize ? amount / share : 1;
	const end = now + validityMs + windowMs * windows;
	const charge = {
		until: Math.ceil(end / chargeSlotMs) * chargeSlotMs,
		amount: Math.min(amount, share),
	};
	return [{...ledger, charges: addCharge(ledger.charges, charge)}, granted];
}

function addCharge(charges: readonly Charge[], charge: Charge): Charge[] {
	const last = charges.at(-1);
	if (last?.until === charge.until) {
		const amount = last.amount + charge.amount;
		return [...charges.slice(0, -1), {...charge, amount}];
	}

	return last && last.until > charge.until
		? [...charges, charge].toSorted((a, b) => a.until - b.until)
		: [...charges, charge];
}

function removeExpired(ledger: LimitLedger, now: Milliseconds): LimitLedger {
	const first = ledger.charges[0];
	return first && first.until <= now
		? {...ledger, charges: ledger.charges.filter(({until}) => until > now)}
		: ledger;
}

/**
 * Computes the time until enough charges have expired; one window if they never
 * free enough.
 */
function computeRetryAfter(
	{charges}: LimitLedger,
	amount: number,
	share: number,
	now: Milliseconds,
): Milliseconds {
	let used = charges.reduce((sum, charge) => sum + charge.amount, 0);
	for (const charge of charges) {
		used -= charge.amount;
		if (used + Math.min(amount, share) <= share) {
			return Math.max(0, charge.until - now);
		}
	}

	return windowMs;
}

/** Returns the amount of a rate that is charged at the moment. */
export function measureCharged(
	{charges}: LimitLedger,
	now: Milliseconds,
): number {
	return charges
		.filter(({until}) => until > now)
		.reduce((sum, {amount}) => sum + amount, 0);
}

/** Returns the total amount of the held concurrent permits. */
export function measureHeld({holders}: LimitLedger): number {
	return [...holders.values()].reduce((sum, amount) => sum + amount, 0);
}

/** Ends a concurrent permit. */
export function releasePermit(
	ledger: LimitLedger,
	holder: PermitHolder,
): LimitLedger {
	const holders = new Map(ledger.holders);
	return holders.delete(holder) ? {...ledger, holders} : ledger;
}

/**
 * Ends the concurrent permits of an incarnation that is gone and whose work has
 * ended.
 */
export function releaseIncarnation(
	ledger: LimitLedger,
	incarnation: Incarnation,
): LimitLedger {
	const kept = [...ledger.holders].filter(
		([holder]) => !holder.startsWith(`${incarnation}/`),
	);
	return kept.length === ledger.holders.size
		? ledger
		: {...ledger, holders: new Map(kept)};
}

/**
 * Ends the concurrent permits of an incarnation up to a number, except those
 * that it still holds.
 */
export function releaseUnheld(
	ledger: LimitLedger,
	incarnation: Incarnation,
	upTo: PermitNumber,
	held: ReadonlySet<number>,
): LimitLedger {
	const prefix = `${incarnation}/`;
	const kept = [...ledger.holders].filter(([holder]) => {
		const number = Number(holder.slice(prefix.length));
		return !holder.startsWith(prefix) || number > upTo || held.has(number);
	});
	return kept.length === ledger.holders.size
		? ledger
		: {...ledger, holders: new Map(kept)};
}

/** Formats the identifier of a permit. */
export const formatPermitHolder = (
	incarnation: Incarnation,
	number: PermitNumber,
): PermitHolder => `${incarnation}/${number}`;

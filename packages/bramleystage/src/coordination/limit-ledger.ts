/**
 * An owner's ledger of its part of one limit. A permit for a rate is charged
 * when it is given and stays charged until one second after the last moment at
 * which it may be used, so that no second has more than the limit, whichever
 * entries admit. A permit for concurrent work is held until it is released, or
 * until its holder is known to be gone.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {Incarnation} from '../protocol/ids.js';
import type {LimitKind, PermitNumber} from '../protocol/limits.js';

/** A rate's window, in milliseconds. */
const windowMs = 1000;

/** How long after it was asked for a permit may be used, in milliseconds. */
export const permitValidityMs = 60;

/** Charges that end within the same slot are kept as one, in milliseconds. */
const slotMs = 5;

type Charge = {readonly until: Milliseconds; readonly amount: number};

/** A permit of an entry's incarnation. */
export type Holder = `${Incarnation}/${PermitNumber}`;

export type LimitLedger = {
	/** Charges of a rate, ended ones first. */
	readonly charges: readonly Charge[];
	/** Holders of concurrent permits. */
	readonly holders: ReadonlyMap<Holder, number>;
};

export const createLimitLedger = (): LimitLedger => ({
	charges: [],
	holders: new Map(),
});

export type PermitRequest = {
	readonly holder: Holder;
	readonly kind: LimitKind;
	readonly amount: number;
	/** Zero for work that this process admits itself, at once. */
	readonly validityMs: Milliseconds;
};

export type PermitDecision = readonly [
	LimitLedger,
	{readonly granted: boolean; readonly retryAfterMs: Milliseconds},
];

const granted = {granted: true, retryAfterMs: 0} as const;

/** Decides whether a permit may be given out of a part of the limit. */
export function decidePermit(
	ledger: LimitLedger,
	request: PermitRequest,
	part: number,
	now: Milliseconds,
): PermitDecision {
	return request.kind === 'concurrent'
		? decideConcurrent(ledger, request, part)
		: decideRate(removeEnded(ledger, now), request, part, now);
}

function decideConcurrent(
	ledger: LimitLedger,
	{holder, amount}: PermitRequest,
	part: number,
): PermitDecision {
	if (ledger.holders.has(holder)) {
		return [ledger, granted];
	}

	if (measureHeld(ledger) + amount > part) {
		return [ledger, {granted: false, retryAfterMs: windowMs}];
	}

	const holders = new Map(ledger.holders).set(holder, amount);
	return [{...ledger, holders}, granted];
}

function decideRate(
	ledger: LimitLedger,
	{amount, validityMs}: PermitRequest,
	part: number,
	now: Milliseconds,
): PermitDecision {
	const used = measureCharged(ledger, now);
	const isOversize = amount > part && used === 0 && part > 0;
	if (used + amount > part && !isOversize) {
		return [
			ledger,
			{granted: false, retryAfterMs: findRoom(ledger, amount, part, now)},
		];
	}

	// Work above the whole part takes all of it for as long as it would need.
	const windows = isOversize ? amount / part : 1;
	const end = now + validityMs + windowMs * windows;
	const charge = {
		until: Math.ceil(end / slotMs) * slotMs,
		amount: Math.min(amount, part),
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

function removeEnded(ledger: LimitLedger, now: Milliseconds): LimitLedger {
	const first = ledger.charges[0];
	return first && first.until <= now
		? {...ledger, charges: ledger.charges.filter(({until}) => until > now)}
		: ledger;
}

/** Time until enough charges have ended, at most one window. */
function findRoom(
	{charges}: LimitLedger,
	amount: number,
	part: number,
	now: Milliseconds,
): Milliseconds {
	let used = charges.reduce((sum, charge) => sum + charge.amount, 0);
	for (const charge of charges) {
		used -= charge.amount;
		if (used + Math.min(amount, part) <= part) {
			return Math.max(0, charge.until - now);
		}
	}

	return windowMs;
}

/** Amount of a rate that is charged now. */
export function measureCharged(
	{charges}: LimitLedger,
	now: Milliseconds,
): number {
	return charges
		.filter(({until}) => until > now)
		.reduce((sum, {amount}) => sum + amount, 0);
}

/** Concurrent permits that are held. */
export function measureHeld({holders}: LimitLedger): number {
	return [...holders.values()].reduce((sum, amount) => sum + amount, 0);
}

/** Ends a concurrent permit. */
export function releasePermit(
	ledger: LimitLedger,
	holder: Holder,
): LimitLedger {
	const holders = new Map(ledger.holders);
	return holders.delete(holder) ? {...ledger, holders} : ledger;
}

/** Ends the concurrent permits of an incarnation that is gone, with its work. */
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

/** Ends the permits of an incarnation up to a number, but for those it still holds. */
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

/** Names a permit of an entry's incarnation. */
export const formatHolder = (
	incarnation: Incarnation,
	number: PermitNumber,
): Holder => `${incarnation}/${number}`;

/**
 * Layer orders under which engines ended. An order of one size may be more than an
 * engine of its kind can hold, whatever the configuration says; sent again and again, it
 * would end each engine that starts. So after a few ends in a row, orders of that kind
 * and size are held back for a while that doubles with each further one.
 */

/** An order's kind of engine and its number of layers. */
export type OrderSize = {readonly kind: string; readonly layers: number};

type OrderCrash = {
	/** Engines that ended while they loaded the layers, since one did so to the end. */
	readonly count: number;
	/** Steady-clock time until which no such order is sent, in milliseconds. */
	readonly heldUntil: number;
};

export type OrderCrashes = ReadonlyMap<string, OrderCrash>;

/** Ends in a row from which on orders are held back. */
const maxOrderCrashes = 3;
const firstHoldMs = 10_000;
const maxHoldMs = 160_000;

export const createOrderCrashes = (): OrderCrashes => new Map();

const formatSize = ({kind, layers}: OrderSize) => `${kind} ${layers}`;

/** Records that an engine ended while it loaded the layers of an order. */
export function recordOrderCrash(
	crashes: OrderCrashes,
	size: OrderSize,
	now: number,
): OrderCrashes {
	const key = formatSize(size);
	const count = (crashes.get(key)?.count ?? 0) + 1;
	const excess = count - maxOrderCrashes;
	const holdMs =
		excess < 0 ? 0 : Math.min(maxHoldMs, firstHoldMs * 2 ** excess);
	return new Map(crashes).set(key, {count, heldUntil: now + holdMs});
}

/** Records that an engine holds the layers of an order. */
export function recordOrderSuccess(
	crashes: OrderCrashes,
	size: OrderSize,
): OrderCrashes {
	const key = formatSize(size);
	if (!crashes.has(key)) {
		return crashes;
	}

	const next = new Map(crashes);
	next.delete(key);
	return next;
}

/** Whether no order of a size may be sent at present. */
export const isOrderHeld = (
	crashes: OrderCrashes,
	size: OrderSize,
	now: number,
): boolean => now < (crashes.get(formatSize(size))?.heldUntil ?? now);

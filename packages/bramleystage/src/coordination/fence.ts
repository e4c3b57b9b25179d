/**
 * Fencing of orders to a backend server. All orders pass through the agent next
 * to the server. The agent accepts no order before it knows the highest fencing
 * token, and from then on refuses every order with a lower one, whether or not
 * the server checks tokens itself.
 *
 * An order whose answer was lost may still take effect later. The agent
 * therefore inspects the server and applies the newest order again until the
 * server's state matches it.
 */
import type {Decision} from '../protocol/decision.js';
import {type FencingToken, toFencingToken} from '../protocol/ids.js';
import type {ResultName} from '../protocol/result-codes.js';

/** An order with the fencing token of its sender's lease and its position within that lease. */
export type FencedOrder<Order> = {
	/** Fencing token of the sender's lease. */
	readonly number: FencingToken;
	/** Position among the orders of one lease, from 0. */
	readonly index: number;
	readonly order: Order;
};

export type FenceState<Order> = {
	/** Highest known fencing token; undefined until it has been read from the log. */
	readonly highest: FencingToken | undefined;
	/** The newest accepted order. */
	readonly newest: FencedOrder<Order> | undefined;
	/** The order that the server is carrying out. */
	readonly running: FencedOrder<Order> | undefined;
};

export type FenceEvent<Order> =
	/** The agent has read the log to its end since it started; `highest` is the highest token in it. */
	| {readonly type: 'learned'; readonly highest: FencingToken | undefined}
	/** An order arrived. */
	| {readonly type: 'ordered'; readonly ordered: FencedOrder<Order>}
	/** The server answered the running order, or its answer was lost. */
	| {readonly type: 'ended'}
	/** The server was inspected; `isAsOrdered` tells whether it matches the newest order. */
	| {readonly type: 'inspected'; readonly isAsOrdered: boolean};

export type FenceCommand<Order> =
	/** Send the order to the server. */
	| {readonly type: 'apply'; readonly ordered: FencedOrder<Order>}
	| {
			readonly type: 'refuse';
			readonly ordered: FencedOrder<Order>;
			readonly result: ResultName;
	  }
	| {readonly type: 'inspect'}
	/** Confirm to the sender that the newest order is in effect; may be repeated. */
	| {readonly type: 'confirm'; readonly ordered: FencedOrder<Order>};

/** Token that stands for a log without any lease; lower than every real one. */
const lowestNumber = toFencingToken(0);

export const createFence = <Order>(): FenceState<Order> => ({
	highest: undefined,
	newest: undefined,
	running: undefined,
});

/** Handles an event. */
export function decideFence<Order>(
	state: FenceState<Order>,
	event: FenceEvent<Order>,
): Decision<FenceState<Order>, FenceCommand<Order>> {
	switch (event.type) {
		case 'learned': {
			const known = state.highest ?? lowestNumber;
			const learned = event.highest ?? lowestNumber;
			const highest = toFencingToken(Math.max(learned, known));
			return [{...state, highest}, []];
		}

		case 'ordered': {
			return acceptOrder(state, event.ordered);
		}

		case 'ended': {
			return [{...state, running: undefined}, [{type: 'inspect'}]];
		}

		case 'inspected': {
			return handleInspection(state, event.isAsOrdered);
		}
	}
}

function acceptOrder<Order>(
	state: FenceState<Order>,
	ordered: FencedOrder<Order>,
): Decision<FenceState<Order>, FenceCommand<Order>> {
	const {highest, newest, running} = state;
	if (highest === undefined) {
		return [state, [{type: 'refuse', ordered, result: 'fenceUnknown'}]];
	}

	const comparison = newest ? compareOrders(ordered, newest) : 1;
	if (ordered.number < highest || comparison < 0) {
		return [state, [{type: 'refuse', ordered, result: 'staleOrder'}]];
	}

	if (comparison === 0) {
		// An older order may have taken effect since the last inspection.
		return [state, running ? [] : [{type: 'inspect'}]];
	}

	const accepted = {
		...state,
		highest: ordered.number,
		newest: ordered,
	};
	return running
		? [accepted, []]
		: [{...accepted, running: ordered}, [{type: 'apply', ordered}]];
}

function handleInspection<Order>(
	state: FenceState<Order>,
	isAsOrdered: boolean,
): Decision<FenceState<Order>, FenceCommand<Order>> {
	const {newest, running} = state;
	if (!newest || running) {
		return [state, []];
	}

	return isAsOrdered
		? [state, [{type: 'confirm', ordered: newest}]]
		: [{...state, running: newest}, [{type: 'apply', ordered: newest}]];
}

/** Compares orders by fencing token, then by index. */
function compareOrders(
	a: FencedOrder<unknown>,
	b: FencedOrder<unknown>,
): number {
	return a.number - b.number || a.index - b.index;
}

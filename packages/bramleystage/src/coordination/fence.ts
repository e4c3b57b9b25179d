/**
 * The fence for orders to a backend server. The agent beside it is the only way
 * to it, and obeys no order before it has learned the highest fencing number;
 * then it refuses every older one, whether or not the server checks. An order
 * whose answer was lost may take effect late, so the agent looks at the server
 * and gives the newest order again until the server is as ordered.
 */
import type {Decision} from '../protocol/decision.js';
import {type FencingNumber, toFencingNumber} from '../protocol/ids.js';
import type {ResultName} from '../protocol/result-codes.js';

/** An order as its sender numbers it: orders of one lease count up. */
export type NumberedOrder<Order> = {
	readonly number: FencingNumber;
	/** Position among the orders of one lease, from 0. */
	readonly index: number;
	readonly order: Order;
};

export type FenceState<Order> = {
	/** Highest number known; undefined until it was learned. */
	readonly highest: FencingNumber | undefined;
	/** The newest order that was taken. */
	readonly newest: NumberedOrder<Order> | undefined;
	/** The order that the server is carrying out. */
	readonly running: NumberedOrder<Order> | undefined;
	/** True once the server was seen as the newest order wants it. */
	readonly isInEffect: boolean;
};

export type FenceEvent<Order> =
	/** The highest number in the log, read to its end after this agent started. */
	| {readonly type: 'learned'; readonly highest: FencingNumber | undefined}
	| {readonly type: 'ordered'; readonly ordered: NumberedOrder<Order>}
	/** The server answered the running order, or its answer was lost. */
	| {readonly type: 'ended'}
	/** The server was looked at. */
	| {readonly type: 'inspected'; readonly isAsOrdered: boolean};

export type FenceCommand<Order> =
	| {readonly type: 'give'; readonly ordered: NumberedOrder<Order>}
	| {
			readonly type: 'refuse';
			readonly ordered: NumberedOrder<Order>;
			readonly result: ResultName;
	  }
	| {readonly type: 'inspect'}
	/** The newest order is in effect; told to whoever sent it, also again. */
	| {readonly type: 'confirm'; readonly ordered: NumberedOrder<Order>};

/** Lowest number, for a log that has granted no lease yet. */
const noNumber = toFencingNumber(0);

export const createFence = <Order>(): FenceState<Order> => ({
	highest: undefined,
	newest: undefined,
	running: undefined,
	isInEffect: false,
});

export function decideFence<Order>(
	state: FenceState<Order>,
	event: FenceEvent<Order>,
): Decision<FenceState<Order>, FenceCommand<Order>> {
	switch (event.type) {
		case 'learned': {
			const known = state.highest ?? noNumber;
			const learned = event.highest ?? noNumber;
			const highest = toFencingNumber(Math.max(learned, known));
			return [{...state, highest}, []];
		}

		case 'ordered': {
			return takeOrder(state, event.ordered);
		}

		case 'ended': {
			return [{...state, running: undefined}, [{type: 'inspect'}]];
		}

		case 'inspected': {
			return settleInspection(state, event.isAsOrdered);
		}
	}
}

function takeOrder<Order>(
	state: FenceState<Order>,
	ordered: NumberedOrder<Order>,
): Decision<FenceState<Order>, FenceCommand<Order>> {
	const {highest, newest, running, isInEffect} = state;
	if (highest === undefined) {
		return [state, [{type: 'refuse', ordered, result: 'fenceUnknown'}]];
	}

	const order = newest ? compareOrders(ordered, newest) : 1;
	if (ordered.number < highest || order < 0) {
		return [state, [{type: 'refuse', ordered, result: 'staleOrder'}]];
	}

	if (order === 0) {
		return [state, isInEffect ? [{type: 'confirm', ordered}] : []];
	}

	const taken = {
		...state,
		highest: ordered.number,
		newest: ordered,
		isInEffect: false,
	};
	return running
		? [taken, []]
		: [{...taken, running: ordered}, [{type: 'give', ordered}]];
}

function settleInspection<Order>(
	state: FenceState<Order>,
	isAsOrdered: boolean,
): Decision<FenceState<Order>, FenceCommand<Order>> {
	const {newest, running} = state;
	if (!newest || running) {
		return [state, []];
	}

	return isAsOrdered
		? [{...state, isInEffect: true}, [{type: 'confirm', ordered: newest}]]
		: [
				{...state, running: newest, isInEffect: false},
				[{type: 'give', ordered: newest}],
			];
}

/** Orders by fencing number, then by index. */
function compareOrders(
	a: NumberedOrder<unknown>,
	b: NumberedOrder<unknown>,
): number {
	return a.number - b.number || a.index - b.index;
}

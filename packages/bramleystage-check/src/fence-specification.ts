/**
 * Specification of an agent's fence for layer assignment orders. The order
 * leader of each lease sends orders with that lease's fencing token, and the
 * agent passes them to an engine that checks no tokens itself. Covers orders of
 * two leases that arrive late and twice, lost responses of the engine, orders
 * that take effect late, and a replaced agent.
 */
import {
	createFence,
	decideFence,
	type FenceCommand,
	type FenceEvent,
	type FenceState,
	type FencedOrder,
	toFencingToken,
} from 'bramleystage';
import {
	recordViolation,
	createTransitionInvariant,
	type Model,
	type Invariant,
	type Specification,
	type Step,
} from './specification.js';

type Fence = FenceState<string>;
type Order = FencedOrder<string>;
type Decide = typeof decideFence<string>;

type FenceModelState = {
	readonly fence: Fence;
	/** Index of the order that is in effect at the engine; -1 for none. */
	readonly engine: number;
	/**
	 * Indexes of the orders that may still take effect after their response was
	 * lost.
	 */
	readonly late: readonly number[];
	/**
	 * Number of orders that were sent. Each of them may arrive again at any
	 * time.
	 */
	readonly sent: number;
	readonly replacements: number;
	readonly mustInspect: boolean;
	/** Index of the newest order that the engine was sent; -1 for none. */
	readonly highestGiven: number;
	readonly broken: readonly string[];
};

type Mechanisms = {
	readonly decide: Decide;
	readonly create: () => Fence;
	/**
	 * Returns the highest fencing token that a new agent learns after a number
	 * of sent orders.
	 */
	readonly findHighestToken: (sent: number) => number;
};

const maxReplacements = 1;
const maxLateEffects = 2;

const orders: readonly Order[] = [
	{number: toFencingToken(3), index: 0, order: 'load a'},
	{number: toFencingToken(3), index: 1, order: 'load b'},
	{number: toFencingToken(8), index: 0, order: 'load c'},
];

const invariants: ReadonlyArray<Invariant<FenceModelState>> = [
	createTransitionInvariant(
		'no-older-number',
		'An engine is sent no order of an older lease after one of a newer lease.',
	),
	createTransitionInvariant(
		'learn-before-obeying',
		'A new agent sends the engine no order of an older lease than one it was already sent.',
	),
	createTransitionInvariant(
		'confirmed-is-in-effect',
		'An order is confirmed only while it is in effect at the engine.',
	),
];

const defaultMechanisms: Mechanisms = {
	decide: decideFence,
	create: () => createFence<string>(),
	findHighestToken: (sent) => Number(orders[sent - 1]?.number ?? 0),
};

/** Creates the mechanisms, without the one behind the omitted invariant. */
function createMechanisms(omitted: string | undefined): Mechanisms {
	switch (omitted) {
		case 'no-older-number': {
			const forgetHighestToken = (fence: Fence): Fence => ({
				...fence,
				highest: toFencingToken(0),
				newest: undefined,
			});
			const decide: Decide = (fence, event) =>
				decideFence(
					event.type === 'ordered' && fence.highest !== undefined
						? forgetHighestToken(fence)
						: fence,
					event,
				);
			return {...defaultMechanisms, decide};
		}

		case 'learn-before-obeying': {
			const create = () => ({
				...createFence<string>(),
				highest: toFencingToken(0),
			});
			return {...defaultMechanisms, create};
		}

		case 'confirmed-is-in-effect': {
			const decide: Decide = (fence, event) =>
				decideFence(
					fence,
					event.type === 'inspected' ? {...event, isAsOrdered: true} : event,
				);
			return {...defaultMechanisms, decide};
		}

		default: {
			return defaultMechanisms;
		}
	}
}

function createModel(
	mechanisms: Mechanisms,
	orderCount: number,
): Model<FenceModelState> {
	return {
		name: `${orderCount} orders of two leases, ${maxReplacements} replaced agent`,
		initial: {
			fence: mechanisms.create(),
			engine: -1,
			late: [],
			sent: 0,
			replacements: 0,
			mustInspect: false,
			highestGiven: -1,
			broken: [],
		},
		listSteps: (state) => listSteps(state, mechanisms, orderCount),
		encodeState: (state) => JSON.stringify(state),
	};
}

function listSteps(
	state: FenceModelState,
	mechanisms: Mechanisms,
	orderCount: number,
): Array<Step<FenceModelState>> {
	const {fence, sent, late, replacements} = state;
	const steps: Array<Step<FenceModelState>> = [];
	const handle = (
		label: string,
		event: FenceEvent<string>,
		from: FenceModelState = state,
	) => {
		const [next, commands] = mechanisms.decide(from.fence, event);
		steps.push({label, next: carryOut({...from, fence: next}, commands)});
	};

	if (sent < orderCount) {
		steps.push({label: 'send', next: {...state, sent: sent + 1}});
	}

	for (const [index, ordered] of orders.slice(0, sent).entries()) {
		handle(`order ${index} arrives`, {type: 'ordered', ordered});
	}

	if (fence.highest === undefined) {
		const highest = toFencingToken(mechanisms.findHighestToken(sent));
		handle('learn', {type: 'learned', highest});
	}

	if (fence.running) {
		const running = findIndex(fence.running);
		const ended = {type: 'ended'} as const;
		handle('order takes effect', ended, {...state, engine: running});
		if (late.length < maxLateEffects) {
			handle('response is lost', ended, {...state, late: [...late, running]});
		}
	}

	for (const [position, orderIndex] of late.entries()) {
		steps.push({
			label: `order ${orderIndex} takes effect late`,
			next: {...state, engine: orderIndex, late: late.toSpliced(position, 1)},
		});
	}

	if (state.mustInspect && fence.newest) {
		const isAsOrdered = state.engine === findIndex(fence.newest);
		const inspected = {type: 'inspected', isAsOrdered} as const;
		handle('inspect', inspected, {...state, mustInspect: false});
	}

	if (replacements < maxReplacements) {
		steps.push({
			label: 'agent is replaced',
			next: {
				...state,
				fence: mechanisms.create(),
				mustInspect: false,
				replacements: replacements + 1,
			},
		});
	}

	return steps;
}

const findIndex = ({number, index}: Order): number =>
	orders.findIndex((each) => each.number === number && each.index === index);

function carryOut(
	state: FenceModelState,
	commands: ReadonlyArray<FenceCommand<string>>,
): FenceModelState {
	let next = state;
	for (const command of commands) {
		if (command.type === 'inspect') {
			next = {...next, mustInspect: true};
		} else if (command.type === 'apply') {
			next = recordEngineOrder(next, command.ordered);
		} else if (
			command.type === 'confirm' &&
			state.engine !== findIndex(command.ordered)
		) {
			next = recordViolation(next, 'confirmed-is-in-effect');
		}
	}

	return next;
}

function recordEngineOrder(
	state: FenceModelState,
	order: Order,
): FenceModelState {
	const highest = orders[state.highestGiven];
	const isOlder = highest !== undefined && order.number < highest.number;
	const invariant =
		state.replacements > 0 ? 'learn-before-obeying' : 'no-older-number';
	const highestGiven = Math.max(state.highestGiven, findIndex(order));
	return {
		...(isOlder ? recordViolation(state, invariant) : state),
		highestGiven,
	};
}

export const fenceSpecification: Specification<FenceModelState> = {
	name: 'fence',
	description: 'Fencing tokens of orders to an engine that checks none',
	invariants,
	createModels: (_size, omitted) => [
		createModel(createMechanisms(omitted), orders.length),
	],
};

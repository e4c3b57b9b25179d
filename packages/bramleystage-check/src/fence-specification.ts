/**
 * The fence of orders at an agent, beside an engine that checks no numbers:
 * orders of two leases that arrive late and twice, answers that are lost, late
 * effects of orders, and an agent that is replaced.
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
	addBroken,
	createStepRule,
	type Model,
	type Rule,
	type Specification,
	type Step,
} from './specification.js';

type Fence = FenceState<string>;
type Order = FencedOrder<string>;
type Decide = typeof decideFence<string>;

type FenceModelState = {
	readonly fence: Fence;
	/** Index of the order that the engine is in effect of; -1 for none. */
	readonly engine: number;
	/** The order whose effect may still come. */
	readonly late: readonly number[];
	/** Orders that were sent. Each may arrive again at any time. */
	readonly sent: number;
	readonly replacements: number;
	readonly mustInspect: boolean;
	/** Highest order that the engine was given. */
	readonly highestGiven: number;
	readonly broken: readonly string[];
};

type Mechanisms = {
	readonly decide: Decide;
	readonly create: () => Fence;
	/** Highest number that a fresh agent learns, given what was sent. */
	readonly learn: (sent: number) => number;
};

const maxReplacements = 1;
const maxLate = 2;

const orders: readonly Order[] = [
	{number: toFencingToken(3), index: 0, order: 'load a'},
	{number: toFencingToken(3), index: 1, order: 'load b'},
	{number: toFencingToken(8), index: 0, order: 'load c'},
];

const rules: ReadonlyArray<Rule<FenceModelState>> = [
	createStepRule(
		'no-older-number',
		'An engine is given no order of an older lease after one of a newer.',
	),
	createStepRule(
		'learn-before-obeying',
		'A fresh agent gives no order that is older than one the engine was given.',
	),
	createStepRule(
		'confirmed-is-in-effect',
		'An order is confirmed only while the engine is as ordered.',
	),
];

const whole: Mechanisms = {
	decide: decideFence,
	create: () => createFence<string>(),
	learn: (sent) => Number(orders[sent - 1]?.number ?? 0),
};

/** The mechanisms with that of one rule left out. */
function createMechanisms(broken: string | undefined): Mechanisms {
	switch (broken) {
		case 'no-older-number': {
			const forget = (fence: Fence): Fence => ({
				...fence,
				highest: toFencingToken(0),
				newest: undefined,
			});
			const decide: Decide = (fence, event) =>
				decideFence(
					event.type === 'ordered' && fence.highest !== undefined
						? forget(fence)
						: fence,
					event,
				);
			return {...whole, decide};
		}

		case 'learn-before-obeying': {
			const create = () => ({
				...createFence<string>(),
				highest: toFencingToken(0),
			});
			return {...whole, create};
		}

		case 'confirmed-is-in-effect': {
			const decide: Decide = (fence, event) =>
				decideFence(
					fence,
					event.type === 'inspected' ? {...event, isAsOrdered: true} : event,
				);
			return {...whole, decide};
		}

		default: {
			return whole;
		}
	}
}

function createModel(
	mechanisms: Mechanisms,
	count: number,
): Model<FenceModelState> {
	return {
		name: `${count} orders of two leases, ${maxReplacements} replaced agent`,
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
		listSteps: (state) => listSteps(state, mechanisms, count),
		encodeState: (state) => JSON.stringify(state),
	};
}

function listSteps(
	state: FenceModelState,
	mechanisms: Mechanisms,
	count: number,
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

	if (sent < count) {
		steps.push({label: 'send', next: {...state, sent: sent + 1}});
	}

	for (const [index, ordered] of orders.slice(0, sent).entries()) {
		handle(`order ${index} arrives`, {type: 'ordered', ordered});
	}

	if (fence.highest === undefined) {
		const highest = toFencingToken(mechanisms.learn(sent));
		handle('learn', {type: 'learned', highest});
	}

	if (fence.running) {
		const running = findIndex(fence.running);
		const ended = {type: 'ended'} as const;
		handle('order takes effect', ended, {...state, engine: running});
		if (late.length < maxLate) {
			handle('answer is lost', ended, {...state, late: [...late, running]});
		}
	}

	for (const [position, effect] of late.entries()) {
		steps.push({
			label: `order ${effect} takes effect late`,
			next: {...state, engine: effect, late: late.toSpliced(position, 1)},
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
		} else if (command.type === 'give') {
			next = recordGiven(next, command.ordered);
		} else if (
			command.type === 'confirm' &&
			state.engine !== findIndex(command.ordered)
		) {
			next = addBroken(next, 'confirmed-is-in-effect');
		}
	}

	return next;
}

function recordGiven(state: FenceModelState, given: Order): FenceModelState {
	const highest = orders[state.highestGiven];
	const isOlder = highest !== undefined && given.number < highest.number;
	const rule =
		state.replacements > 0 ? 'learn-before-obeying' : 'no-older-number';
	const highestGiven = Math.max(state.highestGiven, findIndex(given));
	return {...(isOlder ? addBroken(state, rule) : state), highestGiven};
}

export const fenceSpecification: Specification<FenceModelState> = {
	name: 'fence',
	description: 'Fencing numbers of orders to an engine that checks none',
	rules,
	createModels: (_size, broken) => [
		createModel(createMechanisms(broken), orders.length),
	],
};

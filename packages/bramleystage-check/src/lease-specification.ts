/**
 * A lease by the log: two processes that claim and renew, appends that land
 * late, in another order or never, reads that lag, and holders that pause at
 * any moment. Time counts in units of which a lease lasts two.
 */
import {
	createLease,
	decideLease,
	findHeldToken,
	type LeaseEvent,
	type LeaseRecord,
	leaseRecordSchema,
	type LeaseState,
	toHostId,
	toIncarnation,
	toLogOffset,
} from 'bramleystage';
import type {
	Model,
	ModelSize,
	Rule,
	Specification,
	Step,
} from './specification.js';

type Process = {
	readonly lease: LeaseState;
	/** Records that it has read. */
	readonly read: number;
	/** When each of its requests was sent, by request. */
	readonly sentAt: Readonly<Record<string, number>>;
};

type LeaseModelState = {
	readonly now: number;
	readonly log: readonly LeaseRecord[];
	/** Appends that may still land. */
	readonly pending: readonly LeaseRecord[];
	readonly appended: number;
	readonly processes: readonly Process[];
	readonly broken: readonly string[];
};

type Mechanisms = {
	readonly decide: typeof decideLease;
	readonly marginMs: number;
};

const ttlMs = 2;
const processCount = 2;

const findHolders = ({processes, now}: LeaseModelState): number[] =>
	processes.flatMap(({lease}, index) =>
		findHeldToken(lease, now) === undefined ? [] : [index],
	);

const rules: ReadonlyArray<Rule<LeaseModelState>> = [
	{
		name: 'one-holder',
		description: 'No two processes hold the lease at once.',
		holds: (state) => findHolders(state).length <= 1,
	},
	{
		name: 'deadline-from-send',
		description: 'A holder stops a lease’s time after its request was sent.',
		holds: ({processes}) =>
			processes.every(
				({lease, sentAt}) =>
					!lease.held ||
					Object.values(sentAt).some((at) => at + ttlMs === lease.held?.until),
			),
	},
	{
		name: 'others-wait',
		description:
			'No process that has read the whole log claims the lease while another holds it.',
		holds: ({broken}) => !broken.includes('others-wait'),
	},
];

/** The mechanisms with that of one rule left out. */
function createMechanisms(broken: string | undefined): Mechanisms {
	const whole: Mechanisms = {decide: decideLease, marginMs: 1};
	switch (broken) {
		case 'one-holder': {
			// A claim counts whatever its author had seen, and is not given up.
			const decide: typeof decideLease = (state, event, options, now) => {
				const [next, commands] = decideLease(
					state,
					acceptAnyClaim(state, event),
					options,
					now,
				);
				return event.type === 'record'
					? [{...next, sent: state.sent}, commands]
					: [next, commands];
			};

			return {...whole, decide};
		}

		case 'deadline-from-send': {
			const decide: typeof decideLease = (state, event, options, now) =>
				decideLease(
					event.type === 'record'
						? {
								...state,
								sent: state.sent.map((each) => ({...each, sentAt: now})),
							}
						: state,
					event,
					options,
					now,
				);
			return {...whole, decide};
		}

		case 'others-wait': {
			return {...whole, marginMs: -ttlMs};
		}

		default: {
			return whole;
		}
	}
}

function acceptAnyClaim(state: LeaseState, event: LeaseEvent): LeaseEvent {
	if (event.type !== 'record') {
		return event;
	}

	const value = leaseRecordSchema.parse(event.value);
	return {...event, value: {...value, previous: state.grant?.last ?? null}};
}

function createModel(
	mechanisms: Mechanisms,
	sizes: {readonly time: number; readonly appends: number},
): Model<LeaseModelState> {
	return {
		name: `${processCount} processes, ${sizes.appends} appends, ${sizes.time} units of time`,
		initial: {
			now: 0,
			log: [],
			pending: [],
			appended: 0,
			processes: Array.from({length: processCount}, () => ({
				lease: createLease(0),
				read: 0,
				sentAt: {},
			})),
			broken: [],
		},
		listSteps: (state) => [
			...listTimeSteps(state, sizes.time),
			...listLogSteps(state),
			...state.processes.flatMap((_, index) =>
				listProcessSteps(state, mechanisms, index, sizes.appends),
			),
		],
		encodeState: (state) => JSON.stringify(state),
	};
}

const listTimeSteps = (
	state: LeaseModelState,
	limit: number,
): Array<Step<LeaseModelState>> =>
	state.now < limit
		? [{label: 'time passes', next: {...state, now: state.now + 1}}]
		: [];

const listLogSteps = (state: LeaseModelState): Array<Step<LeaseModelState>> =>
	state.pending.flatMap((record, position) => {
		const pending = state.pending.toSpliced(position, 1);
		const log = [...state.log, record];
		return [
			{label: `${record.request} lands`, next: {...state, pending, log}},
			{label: `${record.request} is lost`, next: {...state, pending}},
		];
	});

function listProcessSteps(
	state: LeaseModelState,
	mechanisms: Mechanisms,
	index: number,
	appends: number,
): Array<Step<LeaseModelState>> {
	const process = state.processes[index]!;
	const steps: Array<Step<LeaseModelState>> = [];
	if (process.read < state.log.length) {
		const offset = toLogOffset(process.read);
		const value = state.log[process.read];
		steps.push({
			label: `process ${index} reads record ${offset}`,
			next: handleEvent(state, mechanisms, index, {
				type: 'record',
				offset,
				value,
			}),
		});
	}

	if (state.appended < appends) {
		const request = `request ${state.appended} of ${index}`;
		steps.push({
			label: `process ${index} ticks`,
			next: handleEvent(state, mechanisms, index, {type: 'tick', request}),
		});
	}

	return steps;
}

function handleEvent(
	state: LeaseModelState,
	{decide, marginMs}: Mechanisms,
	index: number,
	event: LeaseEvent,
): LeaseModelState {
	const process = state.processes[index]!;
	const {now} = state;
	const host = toHostId(`host-${index}`);
	const incarnation = toIncarnation(String(index));
	const [lease, commands] = decide(
		process.lease,
		event,
		{host, incarnation, ttlMs, marginMs},
		now,
	);
	const records = commands.flatMap((command) =>
		command.type === 'append' ? [command.record] : [],
	);
	const sentAt = {
		...process.sentAt,
		...Object.fromEntries(records.map(({request}) => [request, now])),
	};
	const read = process.read + (event.type === 'record' ? 1 : 0);
	const claimsEarly =
		read === state.log.length &&
		records.some(({renews}) => renews === null) &&
		findHolders(state).some((holder) => holder !== index);
	return {
		...state,
		pending: [...state.pending, ...records],
		appended: state.appended + records.length,
		processes: state.processes.with(index, {lease, read, sentAt}),
		broken: claimsEarly ? ['others-wait'] : state.broken,
	};
}

const sizes: Readonly<Record<ModelSize, {time: number; appends: number}>> = {
	small: {time: 5, appends: 2},
	full: {time: 7, appends: 3},
};

export const leaseSpecification: Specification<LeaseModelState> = {
	name: 'lease',
	description: 'A lease by claims and renewals in the log',
	rules,
	createModels: (size, broken) => [
		createModel(createMechanisms(broken), sizes[size]),
	],
};

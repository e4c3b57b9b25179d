/**
 * Specification of the lease that processes claim and renew through the log. Two
 * processes compete; appends are committed late, out of order or never, reads
 * lag, and a holder may pause at any moment. Time is counted in units; a lease
 * lasts two units.
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
	Invariant,
	Specification,
	Step,
} from './specification.js';

type Process = {
	readonly lease: LeaseState;
	/** Number of log records that the process has read. */
	readonly read: number;
	/** Time at which the process sent each of its lease requests, by request. */
	readonly sentAt: Readonly<Record<string, number>>;
};

type LeaseModelState = {
	readonly now: number;
	readonly log: readonly LeaseRecord[];
	/** Appends that may still be committed. */
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

const invariants: ReadonlyArray<Invariant<LeaseModelState>> = [
	{
		name: 'one-holder',
		description: 'No two processes hold the lease at once.',
		holds: (state) => findHolders(state).length <= 1,
	},
	{
		name: 'deadline-from-send',
		description:
			'A holder’s lease ends one lease duration after it sent the request.',
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

/** Creates the mechanisms, without the one behind the omitted invariant. */
function createMechanisms(omitted: string | undefined): Mechanisms {
	const defaultMechanisms: Mechanisms = {decide: decideLease, marginMs: 1};
	switch (omitted) {
		case 'one-holder': {
			// Accepts a claim whatever records its author had read, and never drops a sent claim.
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

			return {...defaultMechanisms, decide};
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
			return {...defaultMechanisms, decide};
		}

		case 'others-wait': {
			return {...defaultMechanisms, marginMs: -ttlMs};
		}

		default: {
			return defaultMechanisms;
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
	bounds: {readonly time: number; readonly appends: number},
): Model<LeaseModelState> {
	return {
		name: `${processCount} processes, ${bounds.appends} appends, ${bounds.time} units of time`,
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
			...listTimeSteps(state, bounds.time),
			...listLogSteps(state),
			...state.processes.flatMap((_, index) =>
				listProcessSteps(state, mechanisms, index, bounds.appends),
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
			{label: `${record.request} is committed`, next: {...state, pending, log}},
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

const boundsBySize: Readonly<
	Record<ModelSize, {time: number; appends: number}>
> = {
	small: {time: 5, appends: 2},
	full: {time: 7, appends: 3},
};

export const leaseSpecification: Specification<LeaseModelState> = {
	name: 'lease',
	description: 'A lease by claims and renewals in the log',
	invariants,
	createModels: (size, omitted) => [
		createModel(createMechanisms(omitted), boundsBySize[size]),
	],
};

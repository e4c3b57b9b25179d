/**
 * Specification of the request protocol of plain service calls: the entry's
 * dispatch, the agents' call ledgers and the sessions between them. Covers lost
 * sessions, duplicated and delayed frames, replaced agents, a crashed entry,
 * cancels and full queues.
 */
import {listAgentSteps} from './request-agent-lifecycle-steps.js';
import {listEntrySteps} from './request-entry-steps.js';
import {createMechanisms} from './request-mechanisms.js';
import {listNetworkSteps} from './request-network-steps.js';
import {
	createRequestState,
	findEntrySession,
	toHostIndex,
	formatRequest,
	formatState,
	type RequestFaults,
	type RequestModelOptions,
	type RequestState,
	toTarget,
} from './request-state.js';
import type {
	Model,
	ModelSize,
	Invariant,
	Specification,
} from './specification.js';

type RequestInvariant = Invariant<RequestState>;

/** Creates an invariant whose violations the steps record in the history. */
const createTransitionInvariant = (
	name: string,
	description: string,
): RequestInvariant => ({
	name,
	description,
	holds: ({history}) => !history.broken.includes(name),
});

const invariants: readonly RequestInvariant[] = [
	{
		name: 'run-at-most-once',
		description: 'Backend servers run a non-idempotent call at most once.',
		holds: ({dispatches, history}) =>
			dispatches.every(
				({idempotent}, request) => idempotent || history.runs[request]! <= 1,
			),
	},
	{
		name: 'not-run-means-not-run',
		description:
			'No backend server ever runs a call whose caller received not-run.',
		holds: ({history}) =>
			history.told.every(
				(outcome, request) =>
					outcome?.type !== 'failure' ||
					outcome.outcome !== 'not-run' ||
					history.runs[request] === 0,
			),
	},
	createTransitionInvariant(
		'unknown-never-repeated',
		'A non-idempotent call is sent to another agent only after each earlier one has refused to run it.',
	),
	{
		name: 'answer-to-own-request',
		description: 'A caller receives only the answer to its own request.',
		holds: ({history}) =>
			history.told.every(
				(outcome, request) =>
					outcome?.type !== 'answer' ||
					outcome.request === formatRequest(request),
			),
	},
	{
		name: 'no-recorded-answer-lost',
		description:
			'A recorded answer reaches the entry that waits for it while they have a session.',
		holds: (state) =>
			state.dispatches.every((_, request) => !isAnswerStuck(state, request)),
	},
	createTransitionInvariant(
		'tombstone-refuses-late-frames',
		'An agent never starts a call that it has refused to run.',
	),
	createTransitionInvariant(
		'stale-incarnation-refused',
		'An agent starts no call that was sent to an earlier incarnation.',
	),
	createTransitionInvariant(
		'older-session-fenced',
		'An agent handles no frame of a session older than the newest one it knows.',
	),
	createTransitionInvariant(
		'failure-of-current-target-only',
		'Only a failure from the current target makes the entry change the target.',
	),
	createTransitionInvariant(
		'record-outlives-late-frames',
		'An incarnation of an agent starts a call at most once.',
	),
];

/**
 * Whether an agent has recorded an answer that the entry waits for while no
 * message is in flight between them.
 */
function isAnswerStuck(state: RequestState, request: number): boolean {
	const {phase, target} = state.dispatches[request]!;
	if (!state.entryAlive || phase !== 'sent' || !target) {
		return false;
	}

	const host = toHostIndex(target);
	const agent = state.agents[host]!;
	const session = state.sessions[findEntrySession(state, host)];
	return (
		agent.records[request]?.phase === 'answered' &&
		toTarget(host, agent.incarnation).incarnation === target.incarnation &&
		session !== undefined &&
		session.announced &&
		session.agentOpen &&
		session.toAgent.length + session.toEntry.length === 0
	);
}

const noFaults: RequestFaults = {
	losses: 0,
	replacements: 0,
	copies: 0,
	fullQueues: 0,
	staleChoices: 0,
	entryDeaths: 0,
	ends: 0,
};

const smallModels: readonly RequestModelOptions[] = [
	{
		name: 'two calls, one agent',
		hosts: 1,
		idempotent: [false, true],
		faults: noFaults,
	},
	{
		name: 'one call, two agents, replacement',
		hosts: 2,
		idempotent: [false],
		faults: {...noFaults, replacements: 1, staleChoices: 1},
	},
	{
		name: 'one call, two agents, loss and refusal',
		hosts: 2,
		idempotent: [false],
		faults: {...noFaults, losses: 1, fullQueues: 1},
	},
	{
		name: 'one call, one agent, loss, copies, cancel',
		hosts: 1,
		idempotent: [false],
		faults: {...noFaults, losses: 1, copies: 1, ends: 1},
	},
	{
		name: 'one idempotent call, two agents, loss',
		hosts: 2,
		idempotent: [true],
		faults: {...noFaults, losses: 1},
	},
];

const fullModels: readonly RequestModelOptions[] = [
	...smallModels,
	{
		name: 'one call, one agent, loss, replacement, dead entry, cancel',
		hosts: 1,
		idempotent: [false],
		faults: {...noFaults, losses: 1, replacements: 1, entryDeaths: 1, ends: 1},
	},
	{
		name: 'one call, two agents, refusal, replacement and cancel',
		hosts: 2,
		idempotent: [false],
		faults: {...noFaults, replacements: 1, fullQueues: 1, ends: 1},
	},
	{
		name: 'one idempotent call, two agents, replacement and cancel',
		hosts: 2,
		idempotent: [true],
		faults: {...noFaults, replacements: 1, ends: 1},
	},
	{
		name: 'two calls, one agent, replacement',
		hosts: 1,
		idempotent: [false, true],
		faults: {...noFaults, replacements: 1},
	},
];

function createModels(
	size: ModelSize,
	omitted: string | undefined,
): ReadonlyArray<Model<RequestState>> {
	const mechanisms = createMechanisms(omitted);
	return (size === 'small' ? smallModels : fullModels).map((options) => ({
		name: options.name,
		initial: createRequestState(options),
		listSteps: (state) => [
			...listEntrySteps(mechanisms, state),
			...listNetworkSteps(mechanisms, state),
			...listAgentSteps(mechanisms, state),
		],
		encodeState: formatState,
	}));
}

export const requestSpecification: Specification<RequestState> = {
	name: 'request',
	description: 'The request protocol of plain service calls.',
	invariants,
	createModels,
};

/**
 * The request protocol of plain service calls: the entry's dispatch, the
 * agents' ledgers and the sessions between them, under loss, duplication, late
 * frames, replaced agents, a dead entry, cancels and full queues.
 */
import {listAgentSteps} from './request-agent-life-steps.js';
import {findEntrySession, listEntrySteps} from './request-entry-steps.js';
import {createMechanisms} from './request-mechanisms.js';
import {listNetworkSteps} from './request-network-steps.js';
import {
	createRequestState,
	findHostIndex,
	formatRequest,
	formatState,
	type RequestFaults,
	type RequestSizes,
	type RequestState,
	toTarget,
} from './request-state.js';
import type {Model, ModelSize, Rule, Specification} from './specification.js';

type RequestRule = Rule<RequestState>;

/** A rule that the steps themselves note in the history when they break it. */
const createStepRule = (name: string, description: string): RequestRule => ({
	name,
	description,
	holds: ({history}) => !history.broken.includes(name),
});

const rules: readonly RequestRule[] = [
	{
		name: 'run-at-most-once',
		description: 'A backend server sees a non-idempotent call at most once.',
		holds: ({dispatches, history}) =>
			dispatches.every(
				({idempotent}, request) => idempotent || history.runs[request]! <= 1,
			),
	},
	{
		name: 'not-run-means-not-run',
		description: 'No backend server ever sees a call that was told not-run.',
		holds: ({history}) =>
			history.told.every(
				(told, request) =>
					told?.type !== 'failure' ||
					told.outcome !== 'not-run' ||
					history.runs[request] === 0,
			),
	},
	createStepRule(
		'unknown-never-repeated',
		'A non-idempotent call leaves an agent only on its word that it will not run there.',
	),
	{
		name: 'answer-to-own-request',
		description: 'A caller gets the answer to its own request.',
		holds: ({history}) =>
			history.told.every(
				(told, request) =>
					told?.type !== 'answer' || told.request === formatRequest(request),
			),
	},
	{
		name: 'no-recorded-answer-lost',
		description:
			'A recorded answer reaches the entry that waits for it over the session they have.',
		holds: (state) =>
			state.dispatches.every((_, request) => !isAnswerStuck(state, request)),
	},
	createStepRule(
		'tombstone-refuses-late-frames',
		'An agent never starts a call that it said would not run.',
	),
	createStepRule(
		'stale-incarnation-refused',
		'An agent starts no call that was sent to an earlier incarnation.',
	),
	createStepRule(
		'older-session-fenced',
		'An agent obeys no frame of a session older than the newest it knows.',
	),
	createStepRule(
		'failure-of-current-target-only',
		'Only the agent that has the call moves the entry to another one.',
	),
	createStepRule(
		'record-outlives-late-frames',
		'An incarnation of an agent starts a call at most once.',
	),
];

/** Whether an answer lies at the agent and nothing in flight will bring it. */
function isAnswerStuck(state: RequestState, request: number): boolean {
	const {phase, target} = state.dispatches[request]!;
	if (!state.entryAlive || phase !== 'sent' || !target) {
		return false;
	}

	const host = findHostIndex(target);
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

const smallSizes: readonly RequestSizes[] = [
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

const fullSizes: readonly RequestSizes[] = [
	...smallSizes,
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
	broken: string | undefined,
): ReadonlyArray<Model<RequestState>> {
	const mechanisms = createMechanisms(broken);
	return (size === 'small' ? smallSizes : fullSizes).map((sizes) => ({
		name: sizes.name,
		initial: createRequestState(sizes),
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
	rules,
	createModels,
};

/**
 * State of the idempotency key model: requests that share one key, the agents
 * that receive them, and the log's stream of claims. An append to the log may be
 * lost, be committed late, or be committed without a response.
 */
import {
	type Call,
	type CallRecord,
	type Claim,
	type ClaimEnd,
	type ClaimRecord,
	isSameClaim,
	toCustomerId,
	toHostId,
	toIncarnation,
	toRequestId,
	toServiceName,
} from 'bramleystage';
import {addName, replaceAt} from './request-state.js';
import {formatPart} from './state-text.js';

export type ClaimModelOptions = {
	readonly name: string;
	readonly agents: number;
	/** Digest of each request; one element per request. */
	readonly digests: readonly string[];
	readonly faults: ClaimFaults;
};

/** How often each kind of fault may still occur. */
export type ClaimFaults = {
	readonly losses: number;
	readonly replacements: number;
	readonly secondAppends: number;
};

/**
 * One caller's request and its state at its agent; `agent` is undefined until
 * it arrives.
 */
export type ClaimRequest = {
	readonly agent: number | undefined;
	readonly record: CallRecord | undefined;
	/** Whether the agent waits for the outcome of the claim. */
	readonly isPending: boolean;
	/** How often the claim was appended to the log. */
	readonly appends: number;
	readonly wasRefused: boolean;
};

export type ClaimAgent = {
	readonly incarnation: number;
	/** Number of log records that the agent has folded. */
	readonly folded: number;
	readonly releases: readonly Claim[];
	readonly end: ClaimEnd | undefined;
};

export type ClaimState = {
	readonly requests: readonly ClaimRequest[];
	readonly agents: readonly ClaimAgent[];
	readonly log: readonly ClaimRecord[];
	/** Appends that were sent and are neither committed nor lost. */
	readonly sent: readonly ClaimRecord[];
	readonly runs: readonly number[];
	readonly faults: ClaimFaults;
	/** Names of the transition invariants that a step has violated. */
	readonly broken: readonly string[];
};

export const createClaimState = ({
	agents,
	digests,
	faults,
}: ClaimModelOptions): ClaimState => ({
	requests: digests.map(() => ({
		agent: undefined,
		record: undefined,
		isPending: false,
		appends: 0,
		wasRefused: false,
	})),
	agents: Array.from({length: agents}, () => createClaimAgent(0)),
	log: [],
	sent: [],
	runs: digests.map(() => 0),
	faults,
	broken: [],
});

export const createClaimAgent = (incarnation: number): ClaimAgent => ({
	incarnation,
	folded: 0,
	releases: [],
	end: undefined,
});

export const createClaimCall = (
	request: number,
	incarnation: number,
): Call => ({
	type: 'call',
	request: toRequestId(`r${request}`),
	incarnation: toIncarnation(`i${incarnation}`),
	customer: toCustomerId('c'),
	service: toServiceName('s'),
	weight: 1,
	priority: 1,
	idempotent: false,
	idempotencyKey: 'k',
	method: 'POST',
	path: '/',
	headers: [],
	body: new Uint8Array(),
	deadlineMs: 1000,
});

export const createClaim = (
	state: ClaimState,
	request: number,
	digest: string,
): Claim => {
	const agent = state.requests[request]!.agent ?? 0;
	return {
		key: 'k',
		request: toRequestId(`r${request}`),
		host: toHostId(`h${agent}`),
		incarnation: toIncarnation(`i${state.agents[agent]!.incarnation}`),
		digest,
	};
};

/** Adds a claim to a list unless the list contains it already. */
export const addClaim = (
	claims: readonly Claim[],
	claim: Claim,
): readonly Claim[] =>
	claims.some((each) => isSameClaim(each, claim)) ? claims : [...claims, claim];

/**
 * Formats the canonical text of a state, in which the order of sent appends is
 * irrelevant.
 */
export const formatClaimState = (state: ClaimState): string =>
	[
		...state.requests.map((each) => formatPart(each)),
		...state.agents.map((each) => formatPart(each)),
		'log',
		...state.log.map((each) => formatPart(each)),
		'sent',
		...state.sent.map((each) => formatPart(each)).toSorted(),
		state.runs,
		formatPart(state.faults),
		state.broken,
	].join(';');

/** Returns the state with some properties of a request replaced. */
export function updateRequest(
	state: ClaimState,
	request: number,
	changed: Partial<ClaimRequest>,
): ClaimState {
	const next = {...state.requests[request]!, ...changed};
	return {...state, requests: replaceAt(state.requests, request, next)};
}

/** Returns the state with some properties of an agent replaced. */
export function updateAgent(
	state: ClaimState,
	agentIndex: number,
	changed: Partial<ClaimAgent>,
): ClaimState {
	const next = {...state.agents[agentIndex]!, ...changed};
	return {...state, agents: replaceAt(state.agents, agentIndex, next)};
}

/** Records that a backend server has run a request. */
export function recordRun(state: ClaimState, request: number): ClaimState {
	const runs = replaceAt(state.runs, request, state.runs[request]! + 1);
	const next = {...state, runs};
	return state.requests[request]!.wasRefused
		? recordViolation(next, 'refused-claim-never-runs')
		: next;
}

/** Records that a step violated a transition invariant. */
export const recordViolation = (
	state: ClaimState,
	invariant: string,
): ClaimState => ({
	...state,
	broken: addName(state.broken, invariant),
});

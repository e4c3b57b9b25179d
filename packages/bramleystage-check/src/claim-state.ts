/**
 * State of the model of idempotency keys: requests with one key at some agents,
 * and the log's stream of claims, whose appends may be lost, take effect late,
 * or take effect without an answer.
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

export type ClaimSizes = {
	readonly name: string;
	readonly agents: number;
	/** Digest of each request; its length is their number. */
	readonly digests: readonly string[];
	readonly faults: ClaimFaults;
};

export type ClaimFaults = {
	readonly losses: number;
	readonly replacements: number;
	readonly secondAppends: number;
};

/** One caller's request, and where it is. */
export type ClaimRequest = {
	readonly agent: number | undefined;
	readonly record: CallRecord | undefined;
	/** Whether the claim waits at the agent's desk, and how often it was appended. */
	readonly isPending: boolean;
	readonly appends: number;
	readonly wasRefused: boolean;
};

export type ClaimAgent = {
	readonly incarnation: number;
	/** Records of the log that it has folded. */
	readonly folded: number;
	readonly releases: readonly Claim[];
	readonly end: ClaimEnd | undefined;
};

export type ClaimState = {
	readonly requests: readonly ClaimRequest[];
	readonly agents: readonly ClaimAgent[];
	readonly log: readonly ClaimRecord[];
	/** Appends that were sent and have not taken effect. */
	readonly sent: readonly ClaimRecord[];
	readonly runs: readonly number[];
	readonly faults: ClaimFaults;
	/** Rules about steps that a step has broken. */
	readonly broken: readonly string[];
};

export const createClaimState = ({
	agents,
	digests,
	faults,
}: ClaimSizes): ClaimState => ({
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

/** Adds a claim to a list that does not hold it yet. */
export const addClaim = (
	claims: readonly Claim[],
	claim: Claim,
): readonly Claim[] =>
	claims.some((each) => isSameClaim(each, claim)) ? claims : [...claims, claim];

/** Canonical text of a state; the order of sent appends does not matter. */
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

/** Replaces parts of a request. */
export function updateRequest(
	state: ClaimState,
	request: number,
	changed: Partial<ClaimRequest>,
): ClaimState {
	const next = {...state.requests[request]!, ...changed};
	return {...state, requests: replaceAt(state.requests, request, next)};
}

/** Replaces parts of an agent. */
export function updateAgent(
	state: ClaimState,
	at: number,
	changed: Partial<ClaimAgent>,
): ClaimState {
	const next = {...state.agents[at]!, ...changed};
	return {...state, agents: replaceAt(state.agents, at, next)};
}

/** A backend server has run a request. */
export function recordRun(state: ClaimState, request: number): ClaimState {
	const runs = replaceAt(state.runs, request, state.runs[request]! + 1);
	const next = {...state, runs};
	return state.requests[request]!.wasRefused
		? recordBroken(next, 'refused-claim-never-runs')
		: next;
}

/** Notes that a step broke a rule. */
export const recordBroken = (state: ClaimState, rule: string): ClaimState => ({
	...state,
	broken: addName(state.broken, rule),
});

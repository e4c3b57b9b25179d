/**
 * State of the model of the request protocol: one entry, its dispatches, some
 * agents with their ledgers, and the sessions between them. The network is
 * taken to be worse than TCP: a frame may also be copied and its copy arrive at
 * any later time while the agent holds the session open.
 */
import {
	type CallRecord,
	createDispatch,
	type DispatchState,
	type Message,
	type Outcome,
	type SessionFence,
	type DispatchTarget,
	toHostId,
	toIncarnation,
	toSessionNumber,
} from 'bramleystage';
import {formatPart, formatParts} from './state-text.js';

/** How many of each fault may still come. */
export type RequestFaults = {
	readonly losses: number;
	readonly replacements: number;
	readonly copies: number;
	readonly fullQueues: number;
	/** Choices made by an entry that has not heard of a replacement. */
	readonly staleChoices: number;
	readonly entryDeaths: number;
	/** Deadlines and callers that go away, of all requests. */
	readonly ends: number;
};

export type RequestSizes = {
	readonly name: string;
	readonly hosts: number;
	/** Whether each request is idempotent; its length is their number. */
	readonly idempotent: readonly boolean[];
	readonly faults: RequestFaults;
};

export type ModelSession = {
	readonly host: number;
	readonly number: number;
	readonly incarnation: number;
	readonly entryOpen: boolean;
	readonly agentOpen: boolean;
	/** Whether the entry has heard a heartbeat on it. */
	readonly announced: boolean;
	readonly toAgent: readonly Message[];
	readonly copies: readonly Message[];
	readonly toEntry: readonly Message[];
};

export type ModelAgent = {
	readonly incarnation: number;
	readonly fence: SessionFence | undefined;
	readonly records: ReadonlyArray<CallRecord | undefined>;
	readonly queue: readonly number[];
	/** Calls given to the backend server, and whether it has seen them. */
	readonly running: ReadonlyArray<{
		readonly request: number;
		readonly seen: boolean;
	}>;
};

/** What the caller was told. */
export type Told =
	| {readonly type: 'answer'; readonly request: string}
	| {readonly type: 'failure'; readonly outcome: Outcome};

/** History that the rules are checked against; no decision reads it. */
export type RequestHistory = {
	/** Runs that backend servers have seen, by request. */
	readonly runs: readonly number[];
	readonly told: ReadonlyArray<Told | undefined>;
	/** Places that each request's call was sent to. */
	readonly sentTo: ReadonlyArray<readonly string[]>;
	/** Places that gave their word that the request will not run there. */
	readonly refusedBy: ReadonlyArray<readonly string[]>;
	/** Places that started the request. */
	readonly startedBy: ReadonlyArray<readonly string[]>;
	/** Rules about steps that a step has broken. */
	readonly broken: readonly string[];
};

export type RequestState = {
	readonly entryAlive: boolean;
	readonly started: readonly boolean[];
	readonly dispatches: readonly DispatchState[];
	readonly agents: readonly ModelAgent[];
	readonly sessions: readonly ModelSession[];
	/** Calls of dead agents that a backend server may still see. */
	readonly orphans: readonly number[];
	readonly faults: RequestFaults;
	readonly history: RequestHistory;
};

/** Deadline of every request, on the entry's clock that stands at 0. */
export const modelDeadline = 10_000;

export function createRequestState({
	hosts,
	idempotent,
	faults,
}: RequestSizes): RequestState {
	return {
		entryAlive: true,
		started: idempotent.map(() => false),
		dispatches: idempotent.map((each) => createDispatch(each, modelDeadline)),
		agents: Array.from({length: hosts}, () => ({
			...createAgent(0, idempotent.length),
			fence: {newest: toSessionNumber(1)},
		})),
		sessions: Array.from({length: hosts}, (_, host) =>
			createSession(host, 1, 0),
		),
		orphans: [],
		faults,
		history: {
			runs: idempotent.map(() => 0),
			told: idempotent.map(() => undefined),
			sentTo: idempotent.map(() => []),
			refusedBy: idempotent.map(() => []),
			startedBy: idempotent.map(() => []),
			broken: [],
		},
	};
}

export const createAgent = (
	incarnation: number,
	requests: number,
): ModelAgent => ({
	incarnation,
	fence: undefined,
	records: Array.from({length: requests}, () => undefined),
	queue: [],
	running: [],
});

export const createSession = (
	host: number,
	number: number,
	incarnation: number,
): ModelSession => ({
	host,
	number,
	incarnation,
	entryOpen: true,
	agentOpen: true,
	announced: true,
	toAgent: [],
	copies: [],
	toEntry: [],
});

/** Replaces one element of a list. */
export function replaceAt<Item>(
	items: readonly Item[],
	index: number,
	item: Item,
): readonly Item[] {
	return items.map((each, at) => (at === index ? item : each));
}

/** Adds a name to a sorted list of names without repeats. */
export function addName(
	names: readonly string[],
	name: string,
): readonly string[] {
	return names.includes(name) ? names : [...names, name].toSorted();
}

export const toTarget = (
	host: number,
	incarnation: number,
): DispatchTarget => ({
	host: toHostId(`h${host}`),
	incarnation: toIncarnation(`i${incarnation}`),
});

/** Names one life of an agent. */
export const formatPlace = (target: DispatchTarget): string =>
	`${target.host}.${target.incarnation}`;

export const findHostIndex = (target: DispatchTarget): number =>
	Number(target.host.slice(1));

export const formatRequest = (request: number): string => `r${request}`;

export const findRequestIndex = (request: string): number =>
	Number(request.slice(1));

/** Spends one fault. */
export function spendFault(
	state: RequestState,
	name: keyof RequestFaults,
): RequestState {
	const faults = {...state.faults, [name]: state.faults[name] - 1};
	return {...state, faults};
}

/** Replaces a session; one that is closed at both ends is forgotten. */
export function replaceSession(
	state: RequestState,
	index: number,
	changed: Partial<ModelSession>,
): RequestState {
	const session = {...state.sessions[index]!, ...changed};
	const kept: ModelSession = {
		...session,
		toAgent: session.agentOpen ? session.toAgent : [],
		copies: session.agentOpen ? session.copies : [],
		toEntry: session.entryOpen ? session.toEntry : [],
	};
	const sessions =
		kept.agentOpen || kept.entryOpen
			? replaceAt(state.sessions, index, kept)
			: state.sessions.filter((_, at) => at !== index);
	return {...state, sessions};
}

/** Notes that a step broke a rule. */
export function recordBroken(state: RequestState, rule: string): RequestState {
	const {history} = state;
	const broken = addName(history.broken, rule);
	return {...state, history: {...history, broken}};
}

/** Canonical text of a state. */
export function formatState(state: RequestState): string {
	const {dispatches, agents, sessions, history} = state;
	return [
		state.entryAlive,
		state.started,
		formatParts(dispatches),
		formatParts(agents),
		// The order in which sessions were opened does not matter.
		sessions
			.map((session) => formatPart(session))
			.toSorted()
			.join(';'),
		state.orphans,
		formatPart(state.faults),
		formatPart(history),
	].join('|');
}

/** The entry's own open session to a host; -1 if there is none. */
export function findEntrySession(
	{sessions}: RequestState,
	host: number,
): number {
	return sessions.findIndex((each) => each.entryOpen && each.host === host);
}

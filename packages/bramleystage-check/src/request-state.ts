/**
 * State of the request protocol model: one entry with its dispatches, some
 * agents with their call ledgers, and the sessions between them. The network is
 * assumed to be weaker than TCP: a frame may also be duplicated, and the
 * duplicate may arrive at any later time while the session is open at the agent.
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

/** How often each kind of fault may still occur. */
export type RequestFaults = {
	readonly losses: number;
	readonly replacements: number;
	readonly copies: number;
	readonly fullQueues: number;
	/** Choices of an agent whose replacement the entry has not noticed. */
	readonly staleChoices: number;
	readonly entryDeaths: number;
	/** Passed deadlines and disconnected callers, over all requests. */
	readonly ends: number;
};

export type RequestModelOptions = {
	readonly name: string;
	readonly hosts: number;
	/** Whether each request is idempotent; one element per request. */
	readonly idempotent: readonly boolean[];
	readonly faults: RequestFaults;
};

export type ModelSession = {
	readonly host: number;
	readonly number: number;
	readonly incarnation: number;
	readonly entryOpen: boolean;
	readonly agentOpen: boolean;
	/** Whether the entry has received a heartbeat on the session. */
	readonly announced: boolean;
	readonly toAgent: readonly Message[];
	/** Duplicated frames to the agent, which may arrive at any time. */
	readonly copies: readonly Message[];
	readonly toEntry: readonly Message[];
};

export type ModelAgent = {
	readonly incarnation: number;
	readonly fence: SessionFence | undefined;
	readonly records: ReadonlyArray<CallRecord | undefined>;
	readonly queue: readonly number[];
	/** Calls sent to the backend server, and whether it has run them (`seen`). */
	readonly running: ReadonlyArray<{
		readonly request: number;
		readonly seen: boolean;
	}>;
};

/** The outcome that a caller received. */
export type CallerOutcome =
	| {readonly type: 'answer'; readonly request: string}
	| {readonly type: 'failure'; readonly outcome: Outcome};

/** Auxiliary history that only the invariants read; no decision depends on it. */
export type RequestHistory = {
	/** How often backend servers have run each request. */
	readonly runs: readonly number[];
	/** The outcome that each caller received. */
	readonly told: ReadonlyArray<CallerOutcome | undefined>;
	/** Targets (host and incarnation) that each request's call was sent to. */
	readonly sentTo: ReadonlyArray<readonly string[]>;
	/** Targets that refused each request and must never run it. */
	readonly refusedBy: ReadonlyArray<readonly string[]>;
	/** Targets that started each request. */
	readonly startedBy: ReadonlyArray<readonly string[]>;
	/** Names of the transition invariants that a step has violated. */
	readonly broken: readonly string[];
};

export type RequestState = {
	readonly entryAlive: boolean;
	readonly started: readonly boolean[];
	readonly dispatches: readonly DispatchState[];
	readonly agents: readonly ModelAgent[];
	readonly sessions: readonly ModelSession[];
	/** Calls of replaced agents that a backend server may still run. */
	readonly orphans: readonly number[];
	readonly faults: RequestFaults;
	readonly history: RequestHistory;
};

/** Deadline of every request in milliseconds; the entry's clock stays at 0. */
export const modelDeadline = 10_000;

export function createRequestState({
	hosts,
	idempotent,
	faults,
}: RequestModelOptions): RequestState {
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

/** Adds a name to a sorted list of distinct names. */
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

/** Formats the host and incarnation of an agent. */
export const formatTarget = (target: DispatchTarget): string =>
	`${target.host}.${target.incarnation}`;

export const toHostIndex = (target: DispatchTarget): number =>
	Number(target.host.slice(1));

export const formatRequest = (request: number): string => `r${request}`;

export const toRequestIndex = (request: string): number =>
	Number(request.slice(1));

/** Uses up one fault of a kind. */
export function spendFault(
	state: RequestState,
	name: keyof RequestFaults,
): RequestState {
	const faults = {...state.faults, [name]: state.faults[name] - 1};
	return {...state, faults};
}

/**
 * Replaces a session, or removes it if it is closed at both ends. Frames to a
 * closed end are lost.
 */
export function replaceSession(
	state: RequestState,
	index: number,
	changed: Partial<ModelSession>,
): RequestState {
	const session = {...state.sessions[index]!, ...changed};
	const updated: ModelSession = {
		...session,
		toAgent: session.agentOpen ? session.toAgent : [],
		copies: session.agentOpen ? session.copies : [],
		toEntry: session.entryOpen ? session.toEntry : [],
	};
	const sessions =
		updated.agentOpen || updated.entryOpen
			? replaceAt(state.sessions, index, updated)
			: state.sessions.filter((_, at) => at !== index);
	return {...state, sessions};
}

/** Records that a step violated a transition invariant. */
export function recordViolation(
	state: RequestState,
	invariant: string,
): RequestState {
	const {history} = state;
	const broken = addName(history.broken, invariant);
	return {...state, history: {...history, broken}};
}

/** Formats the canonical text of a state. */
export function formatState(state: RequestState): string {
	const {dispatches, agents, sessions, history} = state;
	return [
		state.entryAlive,
		state.started,
		formatParts(dispatches),
		formatParts(agents),
		// Sorted, because the order in which sessions were opened is irrelevant.
		sessions
			.map((session) => formatPart(session))
			.toSorted()
			.join(';'),
		state.orphans,
		formatPart(state.faults),
		formatPart(history),
	].join('|');
}

/**
 * Returns the index of the session to a host that is open at the entry; -1 if
 * there is none.
 */
export function findEntrySession(
	{sessions}: RequestState,
	host: number,
): number {
	return sessions.findIndex((each) => each.entryOpen && each.host === host);
}

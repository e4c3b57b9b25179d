/** Steps of the agents and their backend servers in the request protocol model. */
import {
	type CallAnswer,
	type CallCommand,
	type CallEvent,
	createFailure,
	type CallLedgerContext,
	type Message,
	toRequestId,
} from 'bramleystage';
import type {RequestStep} from './request-entry-steps.js';
import type {RequestMechanisms} from './request-mechanisms.js';
import {
	addName,
	toRequestIndex,
	formatTarget,
	formatRequest,
	type ModelAgent,
	modelDeadline,
	recordViolation,
	replaceAt,
	replaceSession,
	type RequestState,
	toTarget,
} from './request-state.js';

/**
 * An event of one call at one agent. `now` is 0 by default, before every
 * deadline.
 */
export type AgentEvent = {
	readonly host: number;
	readonly request: number;
	readonly event: CallEvent;
	readonly queueFull?: boolean;
	readonly now?: number;
};

/**
 * Applies an event to a call at an agent and carries out the resulting
 * commands.
 */
export function handleCallEvent(
	{decideCall}: RequestMechanisms,
	state: RequestState,
	{host, request, event, queueFull = false, now = 0}: AgentEvent,
): RequestState {
	const agent = state.agents[host]!;
	const target = toTarget(host, agent.incarnation);
	const context: CallLedgerContext = {
		incarnation: target.incarnation,
		leaving: false,
		queueFull,
	};
	const [record, commands] = decideCall(
		agent.records[request],
		event,
		now,
		context,
	);
	const records = replaceAt(agent.records, request, record);
	let next = replaceAgent(state, host, {records});
	if (record?.phase === 'failed' && record.failure.outcome === 'not-run') {
		next = recordTarget(next, 'refusedBy', request, formatTarget(target));
	}

	for (const command of commands) {
		next = carryOutCommand(next, host, command);
	}

	return next;
}

function carryOutCommand(
	state: RequestState,
	host: number,
	command: CallCommand,
): RequestState {
	const agent = state.agents[host]!;
	switch (command.type) {
		case 'enqueue': {
			const request = toRequestIndex(command.call.request);
			return replaceAgent(state, host, {queue: [...agent.queue, request]});
		}

		case 'dequeue': {
			const request = toRequestIndex(command.request);
			const queue = agent.queue.filter((each) => each !== request);
			return replaceAgent(state, host, {queue});
		}

		case 'startCall': {
			const request = toRequestIndex(command.call.request);
			const running = [...agent.running, {request, seen: false}];
			const next = replaceAgent(state, host, {running});
			return recordStart(next, host, request, command.call.incarnation);
		}

		// Calls of this model have no idempotency key, so claims never occur.
		case 'claim':
		case 'recordClaimEnd':
		case 'releaseClaim':
		case 'abortCall': {
			// An aborted call may end in any way; the steps of the backend server cover all of them.
			return state;
		}

		case 'send': {
			return sendToEntry(state, host, command.message);
		}
	}
}

function recordStart(
	state: RequestState,
	host: number,
	request: number,
	incarnation: string,
): RequestState {
	const target = toTarget(host, state.agents[host]!.incarnation);
	const targetName = formatTarget(target);
	const {refusedBy, startedBy} = state.history;
	let next = recordTarget(state, 'startedBy', request, targetName);
	if (refusedBy[request]!.includes(targetName)) {
		next = recordViolation(next, 'tombstone-refuses-late-frames');
	}

	if (startedBy[request]!.includes(targetName)) {
		next = recordViolation(next, 'record-outlives-late-frames');
	}

	return incarnation === target.incarnation
		? next
		: recordViolation(next, 'stale-incarnation-refused');
}

function recordTarget(
	state: RequestState,
	list: 'refusedBy' | 'startedBy',
	request: number,
	targetName: string,
): RequestState {
	const {history} = state;
	const targetNames = addName(history[list][request]!, targetName);
	const changed = replaceAt(history[list], request, targetNames);
	return {...state, history: {...history, [list]: changed}};
}

/**
 * Sends a message on the newest session that the agent knows; it is lost
 * without one.
 */
function sendToEntry(
	state: RequestState,
	host: number,
	message: Message,
): RequestState {
	const {fence} = state.agents[host]!;
	const index = state.sessions.findIndex(
		(each) =>
			each.agentOpen && each.host === host && each.number === fence?.newest,
	);
	const session = state.sessions[index];
	return session?.entryOpen
		? replaceSession(state, index, {toEntry: [...session.toEntry, message]})
		: state;
}

export function replaceAgent(
	state: RequestState,
	host: number,
	changed: Partial<ModelAgent>,
): RequestState {
	const agent = {...state.agents[host]!, ...changed};
	return {...state, agents: replaceAt(state.agents, host, agent)};
}

/** Lists the scheduling of the first queued call, before and after its deadline. */
export function listQueueSteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
	host: number,
): RequestStep[] {
	const [request, ...queue] = state.agents[host]!.queue;
	if (request === undefined) {
		return [];
	}

	const dequeued = replaceAgent(state, host, {queue});
	const name = `h${host}: ${formatRequest(request)}`;
	const event: CallEvent = {type: 'scheduled'};
	return [
		{
			label: `${name} is scheduled`,
			next: handleCallEvent(mechanisms, dequeued, {host, request, event}),
		},
		{
			label: `${name} is scheduled after its deadline`,
			next: handleCallEvent(mechanisms, dequeued, {
				host,
				request,
				event,
				now: modelDeadline,
			}),
		},
	];
}

/**
 * Lists the steps in which the backend server runs, answers, refuses or loses a
 * call.
 */
export function listBackendSteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
	host: number,
): RequestStep[] {
	const {running} = state.agents[host]!;
	return running.flatMap(({request, seen}, index) => {
		const name = `h${host}: ${formatRequest(request)}`;
		const others = running.filter((_, at) => at !== index);
		const finish = (label: string, event: CallEvent): RequestStep => ({
			label: `${name} ${label}`,
			next: handleCallEvent(
				mechanisms,
				replaceAgent(state, host, {running: others}),
				{host, request, event},
			),
		});

		if (seen) {
			const failure = createFailure('backendLost', '');
			return [
				finish('is answered by the backend server', {
					type: 'answered',
					answer: createAnswer(request),
				}),
				finish('is lost with its connection', {type: 'failed', failure}),
			];
		}

		const failure = createFailure('backendRefused', '');
		const next = replaceAgent(recordRun(state, request), host, {
			running: replaceAt(running, index, {request, seen: true}),
		});
		return [
			{label: `${name} runs at the backend server`, next},
			finish('is refused by the backend server', {type: 'failed', failure}),
		];
	});
}

/** Records that a backend server has run a call. */
export function recordRun(state: RequestState, request: number): RequestState {
	const {history} = state;
	const runs = replaceAt(history.runs, request, history.runs[request]! + 1);
	return {...state, history: {...history, runs}};
}

const createAnswer = (request: number): CallAnswer => ({
	type: 'callAnswer',
	request: toRequestId(formatRequest(request)),
	status: 200,
	headers: [],
	body: new Uint8Array(),
});

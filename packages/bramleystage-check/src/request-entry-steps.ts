/** Steps of the entry in the request protocol model. */
import {
	type Call,
	type DispatchCommand,
	type DispatchEvent,
	type Message,
	type DispatchTarget,
	toCustomerId,
	toRequestId,
	toServiceName,
} from 'bramleystage';
import type {RequestMechanisms} from './request-mechanisms.js';
import {
	addName,
	findEntrySession,
	toHostIndex,
	formatTarget,
	formatRequest,
	type ModelSession,
	recordViolation,
	replaceAt,
	replaceSession,
	type RequestState,
	spendFault,
	type CallerOutcome,
	toTarget,
} from './request-state.js';
import type {Step} from './specification.js';

/** A step of the request protocol model. */
export type RequestStep = Step<RequestState>;

/** An event of one request's dispatch. `label` describes the step in a trace. */
export type EntryEvent = {
	readonly request: number;
	readonly event: DispatchEvent;
	readonly label: string;
	readonly now?: number;
};

/**
 * Lists the steps that an event of a dispatch causes: one, or two if the
 * decision depends on whether the retry budget allows a retry.
 */
export function listDispatchSteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
	step: EntryEvent,
): RequestStep[] {
	const {label} = step;
	let consultedRetryBudget = false;
	const decide = (isAllowed: boolean) =>
		handleDispatchEvent(mechanisms, state, step, () => {
			consultedRetryBudget = true;
			return isAllowed;
		});
	const nextSteps = [{label, next: decide(true)}];
	if (consultedRetryBudget) {
		nextSteps.push({label: `${label}, no retry budget`, next: decide(false)});
	}

	return nextSteps;
}

function handleDispatchEvent(
	{decideDispatch}: RequestMechanisms,
	state: RequestState,
	{request, event, now = 0}: EntryEvent,
	allowRetry: () => boolean,
): RequestState {
	const dispatch = state.dispatches[request]!;
	const [nextDispatch, commands] = decideDispatch(dispatch, event, now, {
		allowRetry,
		computeBackoff: () => 0,
	});
	const dispatches = replaceAt(state.dispatches, request, nextDispatch);
	let next: RequestState = {...state, dispatches};
	const isFromOtherTarget =
		(event.type === 'failed' || event.type === 'cancelled') &&
		(!dispatch.target ||
			formatTarget(dispatch.target) !== formatTarget(event.from));
	if (isFromOtherTarget && nextDispatch !== dispatch) {
		next = recordViolation(next, 'failure-of-current-target-only');
	}

	for (const command of commands) {
		next = carryOutCommand(next, request, command);
	}

	return next;
}

function carryOutCommand(
	state: RequestState,
	request: number,
	command: DispatchCommand,
): RequestState {
	const id = toRequestId(formatRequest(request));
	switch (command.type) {
		case 'sendCall': {
			const {target} = command;
			const call = createCall(state, request, target);
			return sendToAgent(recordSent(state, request, target), target, call);
		}

		case 'sendCancel': {
			const message: Message = {type: 'cancel', request: id};
			return sendToAgent(state, command.target, message);
		}

		case 'sendAcknowledge': {
			const message: Message = {type: 'acknowledge', request: id};
			return sendToAgent(state, command.target, message);
		}

		case 'answerCaller': {
			const outcome = {
				type: 'answer',
				request: command.answer.request,
			} as const;
			return recordCallerOutcome(state, request, outcome);
		}

		case 'failCaller': {
			const {outcome} = command.failure;
			return recordCallerOutcome(state, request, {type: 'failure', outcome});
		}

		// Choosing a target and the expiry of timers are separate steps.
		default: {
			return state;
		}
	}
}

function createCall(
	{dispatches}: RequestState,
	request: number,
	{incarnation}: DispatchTarget,
): Call {
	return {
		type: 'call',
		request: toRequestId(formatRequest(request)),
		incarnation,
		customer: toCustomerId('c'),
		service: toServiceName('s'),
		weight: 1,
		priority: 1,
		idempotent: dispatches[request]!.idempotent,
		method: 'POST',
		path: '/',
		headers: [],
		body: new Uint8Array(),
		deadlineMs: dispatches[request]!.deadline,
	};
}

function sendToAgent(
	state: RequestState,
	target: DispatchTarget,
	message: Message,
): RequestState {
	const index = findEntrySession(state, toHostIndex(target));
	const session = state.sessions[index];
	return session?.agentOpen
		? replaceSession(state, index, {toAgent: [...session.toAgent, message]})
		: state;
}

function recordSent(
	state: RequestState,
	request: number,
	target: DispatchTarget,
): RequestState {
	const {history} = state;
	const targetName = formatTarget(target);
	const earlier = history.sentTo[request] ?? [];
	const refused = history.refusedBy[request] ?? [];
	const mayHaveRunElsewhere = earlier.some(
		(each) => each !== targetName && !refused.includes(each),
	);
	const sentTo = replaceAt(
		history.sentTo,
		request,
		addName(earlier, targetName),
	);
	const next = {...state, history: {...history, sentTo}};
	return mayHaveRunElsewhere && !state.dispatches[request]!.idempotent
		? recordViolation(next, 'unknown-never-repeated')
		: next;
}

function recordCallerOutcome(
	state: RequestState,
	request: number,
	outcome: CallerOutcome,
): RequestState {
	const {history} = state;
	const outcomes = replaceAt(history.told, request, outcome);
	return {...state, history: {...history, told: outcomes}};
}

/** Lists the steps that the entry takes without a message from an agent. */
export function listEntrySteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
): RequestStep[] {
	if (!state.entryAlive) {
		return [];
	}

	const steps = state.dispatches.flatMap((_, request) =>
		listRequestSteps(mechanisms, state, request),
	);
	if (state.faults.entryDeaths > 0) {
		const sessions = state.sessions
			.filter(({agentOpen}) => agentOpen)
			.map((each) => ({...each, entryOpen: false, toEntry: []}));
		const next = {...state, entryAlive: false, sessions};
		steps.push({
			label: 'the entry crashes',
			next: spendFault(next, 'entryDeaths'),
		});
	}

	return steps;
}

function listRequestSteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
	request: number,
): RequestStep[] {
	const {phase, waitUntil} = state.dispatches[request]!;
	const name = formatRequest(request);
	if (!state.started[request]) {
		const started = replaceAt(state.started, request, true);
		return [{label: `${name} arrives`, next: {...state, started}}];
	}

	const steps: RequestStep[] = [];
	const add = (from: RequestState, event: DispatchEvent, now = 0) => {
		const label = `${name}: ${formatEvent(event)}`;
		steps.push(
			...listDispatchSteps(mechanisms, from, {request, event, label, now}),
		);
	};

	if (phase === 'choosing') {
		for (const [next, target] of listTargetChoices(state, request)) {
			add(next, {type: 'chosen', target});
		}
	}

	if (waitUntil !== undefined) {
		add(state, {type: 'timer'}, waitUntil);
	}

	if (phase !== 'done' && phase !== 'cancelling' && state.faults.ends > 0) {
		const withFaultSpent = spendFault(state, 'ends');
		add(withFaultSpent, {type: 'deadline'});
		add(withFaultSpent, {type: 'callerDisconnected'});
	}

	return steps;
}

/**
 * Lists the agents that the entry may choose, each with the state after the
 * choice. Includes earlier incarnations whose replacement the entry has not
 * noticed. Undefined stands for no usable agent.
 */
function listTargetChoices(
	state: RequestState,
	request: number,
): ReadonlyArray<readonly [RequestState, DispatchTarget | undefined]> {
	const {tried} = state.dispatches[request]!;
	const isUsable = ({entryOpen, announced, host}: ModelSession) =>
		entryOpen && announced && !tried.includes(toTarget(host, 0).host);
	const usable = state.sessions.filter((each) => isUsable(each));
	const fresh = usable.map(
		({host, incarnation}) => [state, toTarget(host, incarnation)] as const,
	);
	if (fresh.length === 0) {
		return [[state, undefined]];
	}

	const stale = usable
		.filter(({incarnation}) => incarnation > 0 && state.faults.staleChoices > 0)
		.map(
			({host, incarnation}) =>
				[
					spendFault(state, 'staleChoices'),
					toTarget(host, incarnation - 1),
				] as const,
		);
	return [...fresh, ...stale];
}

function formatEvent(event: DispatchEvent): string {
	if (event.type !== 'chosen') {
		return event.type;
	}

	return event.target
		? `chosen ${formatTarget(event.target)}`
		: 'no agent to choose';
}

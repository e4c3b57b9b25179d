/** Steps of the sessions in the request protocol model. */
import {
	type DispatchEvent,
	type Message,
	toCallEvent,
	toDispatchEvent,
	toSessionNumber,
	updateSessionFence,
} from 'bramleystage';
import {handleCallEvent, replaceAgent} from './request-agent-steps.js';
import {listDispatchSteps, type RequestStep} from './request-entry-steps.js';
import type {RequestMechanisms} from './request-mechanisms.js';
import {
	createSession,
	findEntrySession,
	toRequestIndex,
	type ModelSession,
	recordViolation,
	replaceSession,
	type RequestState,
	spendFault,
	toTarget,
} from './request-state.js';

/** Lists the steps of all sessions and the opening of new ones. */
export function listNetworkSteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
): RequestStep[] {
	const steps = state.sessions.flatMap((session, index) => [
		...listAgentEndSteps(mechanisms, state, session, index),
		...listEntryEndSteps(mechanisms, state, session, index),
	]);
	if (state.entryAlive) {
		for (const host of state.agents.keys()) {
			if (findEntrySession(state, host) === -1) {
				steps.push(createOpenStep(state, host));
			}
		}
	}

	return steps;
}

/**
 * Lists the steps at the agent's end: frames arrive, are duplicated, or are
 * lost with the session.
 */
function listAgentEndSteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
	session: ModelSession,
	index: number,
): RequestStep[] {
	const {toAgent, copies, agentOpen, entryOpen} = session;
	if (!agentOpen) {
		return [];
	}

	const name = formatSession(session);
	const steps: RequestStep[] = [];
	const [first, ...rest] = toAgent;
	if (first) {
		const received = replaceSession(state, index, {toAgent: rest});
		steps.push(
			...listArrivalSteps(mechanisms, received, session, {
				message: first,
				verb: 'receives',
			}),
		);
	}

	if (first && state.faults.copies > 0) {
		const next = replaceSession(spendFault(state, 'copies'), index, {
			copies: [...copies, first],
		});
		steps.push({label: `${name}: a ${first.type} frame is duplicated`, next});
	}

	for (const [at, copy] of copies.entries()) {
		const others = copies.filter((_, other) => other !== at);
		const received = replaceSession(state, index, {copies: others});
		steps.push(
			...listArrivalSteps(mechanisms, received, session, {
				message: copy,
				verb: 'receives a late',
			}),
		);
	}

	if (!entryOpen) {
		const next = replaceSession(state, index, {agentOpen: false});
		steps.push({label: `${name}: closes at the agent`, next});
	}

	return steps;
}

function listArrivalSteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
	session: ModelSession,
	{message, verb}: {message: Message; verb: string},
): RequestStep[] {
	const {host, number} = session;
	const {fence} = state.agents[host]!;
	const label = `${formatSession(session)}: h${host} ${verb} ${message.type}`;
	const event = toCallEvent(message);
	if (!event || !('request' in message)) {
		return [];
	}

	if (!mechanisms.isCurrentSession(fence, toSessionNumber(number))) {
		return [{label: `${label}, fenced`, next: state}];
	}

	const isOlder = fence !== undefined && number < fence.newest;
	const from = isOlder ? recordViolation(state, 'older-session-fenced') : state;
	const request = toRequestIndex(message.request);
	const next = handleCallEvent(mechanisms, from, {host, request, event});
	if (message.type !== 'call' || state.faults.fullQueues === 0) {
		return [{label, next}];
	}

	const full = handleCallEvent(mechanisms, spendFault(from, 'fullQueues'), {
		host,
		request,
		event,
		queueFull: true,
	});
	return [
		{label, next},
		{label: `${label}, queue full`, next: full},
	];
}

/**
 * Lists the steps at the entry's end: the first heartbeat, arriving frames, and
 * the loss of the session.
 */
function listEntryEndSteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
	session: ModelSession,
	index: number,
): RequestStep[] {
	const {host, incarnation, toEntry, entryOpen, agentOpen, announced} = session;
	if (!entryOpen) {
		return [];
	}

	const name = formatSession(session);
	const target = toTarget(host, incarnation);
	const steps: RequestStep[] = [];
	if (announced) {
		const [first, ...rest] = toEntry;
		if (first) {
			const received = replaceSession(state, index, {toEntry: rest});
			steps.push(
				...listEntryArrivalSteps(mechanisms, received, session, first),
			);
		}
	} else {
		const next = replaceSession(state, index, {announced: true});
		const label = `${name}: first heartbeat at the entry`;
		steps.push(
			...listStepsForAllRequests(mechanisms, next, label, {
				type: 'sessionOpened',
				target,
			}),
		);
	}

	if (!agentOpen || state.faults.losses > 0) {
		const spent = agentOpen ? spendFault(state, 'losses') : state;
		const next = replaceSession(spent, index, {entryOpen: false});
		const label = `${name}: lost at the entry`;
		steps.push(
			...(announced
				? listStepsForAllRequests(mechanisms, next, label, {
						type: 'sessionLost',
						target,
					})
				: [{label, next}]),
		);
	}

	return steps;
}

function listEntryArrivalSteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
	session: ModelSession,
	message: Message,
): RequestStep[] {
	const {host, incarnation} = session;
	const label = `${formatSession(session)}: entry receives ${message.type}`;
	const event = toDispatchEvent(message, toTarget(host, incarnation));
	if (!event) {
		return [{label, next: state}];
	}

	const {findDispatch} = mechanisms;
	const request = findDispatch(message, state.dispatches.length);
	return listDispatchSteps(mechanisms, state, {request, event, label});
}

/**
 * Applies an event to the dispatch of every request, one after another, as a
 * single step.
 */
function listStepsForAllRequests(
	mechanisms: RequestMechanisms,
	state: RequestState,
	label: string,
	event: DispatchEvent,
): RequestStep[] {
	let steps: RequestStep[] = [{label, next: state}];
	for (const request of state.dispatches.keys()) {
		steps = steps.flatMap((step) =>
			listDispatchSteps(mechanisms, step.next, {
				request,
				event,
				label: step.label,
			}),
		);
	}

	return steps;
}

function createOpenStep(state: RequestState, host: number): RequestStep {
	const agent = state.agents[host]!;
	const numbers = state.sessions
		.filter((each) => each.host === host)
		.map(({number}) => number);
	const number = Math.max(0, agent.fence?.newest ?? 0, ...numbers) + 1;
	const session = {
		...createSession(host, number, agent.incarnation),
		announced: false,
	};
	const fence = updateSessionFence(agent.fence, toSessionNumber(number));
	const next = replaceAgent(state, host, {fence});
	const sessions = [...state.sessions, session];
	return {
		label: `${formatSession(session)}: opens`,
		next: {...next, sessions},
	};
}

const formatSession = ({host, number}: ModelSession): string =>
	`session ${number} to h${host}`;

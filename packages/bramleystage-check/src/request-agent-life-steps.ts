/** Steps of agents as a whole, and how they forget and are replaced. */
import {isExpiredRecord} from 'bramleystage';
import {
	listBackendSteps,
	listQueueSteps,
	recordRun,
	replaceAgent,
} from './request-agent-steps.js';
import type {RequestStep} from './request-entry-steps.js';
import type {RequestMechanisms} from './request-mechanisms.js';
import {
	createAgent,
	formatRequest,
	replaceAt,
	replaceSession,
	type RequestState,
	spendFault,
} from './request-state.js';

/** Steps that the agents, their backend servers and the platform take by themselves. */
export function listAgentSteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
): RequestStep[] {
	const steps = state.agents.flatMap((_, host) => [
		...listQueueSteps(mechanisms, state, host),
		...listBackendSteps(mechanisms, state, host),
		...listForgetSteps(mechanisms, state, host),
		...listReplacementSteps(state, host),
	]);
	for (const [index, request] of state.orphans.entries()) {
		const orphans = state.orphans.filter((_, at) => at !== index);
		const next = {...recordRun(state, request), orphans};
		const label = `a backend server sees ${formatRequest(request)} of a dead agent`;
		steps.push({label, next});
	}

	return steps;
}

/**
 * A record goes when its time is over. The time is long enough that the entry
 * has ended the call and no frame of it is left on the newest session; an older
 * session may hold one still.
 */
function listForgetSteps(
	{forgetsEarly}: RequestMechanisms,
	state: RequestState,
	host: number,
): RequestStep[] {
	const {records} = state.agents[host]!;
	return records.flatMap((record, request) => {
		const canGo = record && isExpiredRecord(record, Number.POSITIVE_INFINITY);
		if (!canGo || (!forgetsEarly && isNeeded(state, host, request))) {
			return [];
		}

		const next = replaceAgent(state, host, {
			records: replaceAt(records, request, undefined),
		});
		return [{label: `h${host} forgets ${formatRequest(request)}`, next}];
	});
}

function isNeeded(state: RequestState, host: number, request: number): boolean {
	const {fence, records} = state.agents[host]!;
	const isEnded =
		!state.entryAlive ||
		state.dispatches[request]!.phase === 'done' ||
		records[request]?.phase === 'acknowledged';
	const isComing = state.sessions.some(
		({host: to, number, agentOpen, toAgent, copies}) =>
			to === host &&
			agentOpen &&
			number === fence?.newest &&
			[...toAgent, ...copies].some(
				(message) =>
					message.type === 'call' && message.request === formatRequest(request),
			),
	);
	return !isEnded || isComing;
}

function listReplacementSteps(
	state: RequestState,
	host: number,
): RequestStep[] {
	if (state.faults.replacements === 0) {
		return [];
	}

	const {incarnation, running, records} = state.agents[host]!;
	const unseen = running.filter(({seen}) => !seen);
	let next = replaceAgent(
		spendFault(state, 'replacements'),
		host,
		createAgent(incarnation + 1, records.length),
	);
	for (let index = state.sessions.length - 1; index >= 0; index--) {
		if (state.sessions[index]!.host === host) {
			next = replaceSession(next, index, {agentOpen: false});
		}
	}

	const orphans = [...state.orphans, ...unseen.map(({request}) => request)];
	return [{label: `h${host} is replaced`, next: {...next, orphans}}];
}

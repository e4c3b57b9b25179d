/** Steps of agents, including the expiry of ledger records and replacement. */
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

/**
 * Lists the steps that agents, backend servers and the platform take without a
 * message.
 */
export function listAgentSteps(
	mechanisms: RequestMechanisms,
	state: RequestState,
): RequestStep[] {
	const steps = state.agents.flatMap((_, host) => [
		...listQueueSteps(mechanisms, state, host),
		...listBackendSteps(mechanisms, state, host),
		...listExpirySteps(mechanisms, state, host),
		...listReplacementSteps(state, host),
	]);
	for (const [index, request] of state.orphans.entries()) {
		const orphans = state.orphans.filter((_, at) => at !== index);
		const next = {...recordRun(state, request), orphans};
		const label = `a backend server runs ${formatRequest(request)} of a replaced agent`;
		steps.push({label, next});
	}

	return steps;
}

/**
 * Lists the expiry of ledger records. Their retention time is long enough that a
 * record expires only after the entry has ended the call and no frame of the
 * call remains on the newest session. An older session may still hold one.
 */
function listExpirySteps(
	{expiresEarly}: RequestMechanisms,
	state: RequestState,
	host: number,
): RequestStep[] {
	const {records} = state.agents[host]!;
	return records.flatMap((record, request) => {
		const canExpire =
			record && isExpiredRecord(record, Number.POSITIVE_INFINITY);
		if (!canExpire || (!expiresEarly && isRecordNeeded(state, host, request))) {
			return [];
		}

		const next = replaceAgent(state, host, {
			records: replaceAt(records, request, undefined),
		});
		return [
			{label: `h${host} expires its record of ${formatRequest(request)}`, next},
		];
	});
}

function isRecordNeeded(
	state: RequestState,
	host: number,
	request: number,
): boolean {
	const {fence, records} = state.agents[host]!;
	const isEnded =
		!state.entryAlive ||
		state.dispatches[request]!.phase === 'done' ||
		records[request]?.phase === 'acknowledged';
	const isCallInFlight = state.sessions.some(
		({host: to, number, agentOpen, toAgent, copies}) =>
			to === host &&
			agentOpen &&
			number === fence?.newest &&
			[...toAgent, ...copies].some(
				(message) =>
					message.type === 'call' && message.request === formatRequest(request),
			),
	);
	return !isEnded || isCallInFlight;
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

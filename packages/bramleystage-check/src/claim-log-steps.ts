/** Lists all steps of the idempotency key model, including those of the log. */
import type {ClaimState} from './claim-state.js';
import {
	type ClaimMechanisms,
	type ClaimStep,
	ClaimTransitions,
} from './claim-steps.js';

/** Lists every step that is possible in a state. */
export function listClaimSteps(
	mechanisms: ClaimMechanisms,
	digests: readonly string[],
	state: ClaimState,
): ClaimStep[] {
	const transitions = new ClaimTransitions(mechanisms, digests);
	return [
		...state.requests.flatMap((_, request) =>
			transitions.listRequestSteps(state, request),
		),
		...state.agents.flatMap((_, agent) =>
			transitions.listAgentSteps(state, agent),
		),
		...listLogSteps(state),
	];
}

/**
 * Lists the steps of pending appends: each may be committed at any later time,
 * or be lost.
 */
function listLogSteps(state: ClaimState): ClaimStep[] {
	return state.sent.flatMap((record, index) => {
		const sent = state.sent.filter((_, at) => at !== index);
		const log = [...state.log, record];
		const steps: ClaimStep[] = [
			{label: 'an append is committed', next: {...state, sent, log}},
		];
		if (state.faults.losses > 0) {
			const faults = {...state.faults, losses: state.faults.losses - 1};
			steps.push({label: 'an append is lost', next: {...state, sent, faults}});
		}

		return steps;
	});
}

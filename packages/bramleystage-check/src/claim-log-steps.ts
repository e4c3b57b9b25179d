/** All steps of the model of idempotency keys, with those of the log. */
import type {ClaimState} from './claim-state.js';
import {
	type ClaimMechanisms,
	type ClaimStep,
	ClaimWalk,
} from './claim-steps.js';

/** All steps that may come next. */
export function listClaimSteps(
	mechanisms: ClaimMechanisms,
	digests: readonly string[],
	state: ClaimState,
): ClaimStep[] {
	const walk = new ClaimWalk(mechanisms, digests);
	return [
		...state.requests.flatMap((_, request) =>
			walk.listRequestSteps(state, request),
		),
		...state.agents.flatMap((_, agent) => walk.listAgentSteps(state, agent)),
		...listLogSteps(state),
	];
}

/** An append takes effect at any later time, or is lost. */
function listLogSteps(state: ClaimState): ClaimStep[] {
	return state.sent.flatMap((record, index) => {
		const sent = state.sent.filter((_, at) => at !== index);
		const log = [...state.log, record];
		const steps: ClaimStep[] = [
			{label: 'an append takes effect', next: {...state, sent, log}},
		];
		if (state.faults.losses > 0) {
			const faults = {...state.faults, losses: state.faults.losses - 1};
			steps.push({label: 'an append is lost', next: {...state, sent, faults}});
		}

		return steps;
	});
}

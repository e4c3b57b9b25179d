/** Work schedulers of an agent, bounded by its settings. */
import {
	type AgentSettings,
	type Offer,
	type RequestId,
	WorkScheduler,
} from 'bramleystage';
import type {EngineStep} from './engine-steps.js';

/** Layer-tokens that one level of priority may borrow. */
const stepPriorityCost = 500;
/** Calls that one level of priority may borrow. */
const callPriorityCost = 1;
/** Maximum work running at an engine at once, in seconds at its reported rate. */
const maxRunningSeconds = 0.01;

/** Creates the scheduler of engine steps and the scheduler of service calls. */
export function createSchedulers(
	{slots, maxQueued}: Pick<AgentSettings, 'slots' | 'maxQueued'>,
	findOffers: () => readonly Offer[],
): {
	readonly steps: WorkScheduler<EngineStep>;
	readonly calls: WorkScheduler<RequestId>;
} {
	return {
		steps: new WorkScheduler({
			slots,
			maxQueued,
			findMaxRunningCost: () => computeMaxRunningCost(findOffers()),
			priorityCost: stepPriorityCost,
		}),
		calls: new WorkScheduler({
			slots,
			maxQueued,
			findMaxRunningCost: () => Infinity,
			priorityCost: callPriorityCost,
		}),
	};
}

function computeMaxRunningCost(offers: readonly Offer[]): number {
	const rates = offers.map((offer) =>
		offer.kind === 'layers' ? offer.layerTokensPerSecond : 0,
	);
	return maxRunningSeconds * Math.max(0, ...rates);
}

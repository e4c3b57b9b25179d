/** The schedulers of an agent, with its settings' bounds. */
import {
	type AgentSettings,
	type Offer,
	type RequestId,
	WorkScheduler,
} from 'bramleystage';
import type {EngineStep} from './engine-client.js';

/** Layer-tokens that one step of priority may borrow. */
const stepPriorityCost = 500;
/** Calls that one step of priority may borrow. */
const callPriorityCost = 1;
/** Work that an engine is given at once, in seconds at its own rate. */
const runningSeconds = 0.01;

/** Creates the scheduler of engine steps and that of service calls. */
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
			findMaxRunningCost: () => computeMaxRunning(findOffers()),
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

function computeMaxRunning(offers: readonly Offer[]): number {
	const rates = offers.map((offer) =>
		offer.kind === 'layers' ? offer.layerTokensPerSecond : 0,
	);
	return runningSeconds * Math.max(0, ...rates);
}

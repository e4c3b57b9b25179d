/** The schedulers of an agent, with its settings' bounds. */
import {type AgentSettings, type RequestId, WorkScheduler} from 'bramleystage';
import type {EngineStep} from './engine-client.js';

/** Layer-tokens that one step of priority may borrow. */
const stepPriorityCost = 500;
/** Calls that one step of priority may borrow. */
const callPriorityCost = 1;
/** Layer-tokens that an engine is given at once. */
const maxRunningLayerTokens = 20_000;

/** Creates the scheduler of engine steps and that of service calls. */
export function createSchedulers({
	slots,
	maxQueued,
}: Pick<AgentSettings, 'slots' | 'maxQueued'>): {
	readonly steps: WorkScheduler<EngineStep>;
	readonly calls: WorkScheduler<RequestId>;
} {
	return {
		steps: new WorkScheduler({
			slots,
			maxQueued,
			maxRunningCost: maxRunningLayerTokens,
			priorityCost: stepPriorityCost,
		}),
		calls: new WorkScheduler({
			slots,
			maxQueued,
			maxRunningCost: Infinity,
			priorityCost: callPriorityCost,
		}),
	};
}

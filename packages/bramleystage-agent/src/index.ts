/** Agent process, which runs next to a backend server and controls access to it. */
export {createMetrics} from './agent-metrics.js';
export {type RunningAgent, startAgent} from './agent.js';
export {CallManager, type IdempotencyClaims} from './call-manager.js';
export {ClaimManager, type ClaimManagerOptions} from './claim-manager.js';
export {ClaimEndStore} from './claim-end-store.js';
export {EngineClient} from './engine-client.js';
export {
	countLayerTokens,
	createStepBody,
	type EngineStep,
	formatSequenceName,
	formatStepKey,
	parseOutputLine,
	type SequenceName,
	type StepResult,
} from './engine-steps.js';
export {type EntryKey, EntrySessions} from './entry-sessions.js';
export {findMismatch} from './layer-match.js';
export {createSchedulers} from './schedulers.js';
export {ServiceClient} from './service-client.js';
export {StageManager} from './stage-manager.js';
export {createStepWork} from './step-work.js';

/** The agent process beside a backend server. */
export {createMetrics} from './agent-metrics.js';
export {type RunningAgent, startAgent} from './agent.js';
export {CallDesk, type ClaimCarrier} from './call-desk.js';
export {ClaimDesk, type ClaimDeskOptions} from './claim-desk.js';
export {ClaimEnds} from './claim-ends.js';
export {EngineClient} from './engine-client.js';
export {
	countLayerTokens,
	describeStep,
	type EngineStep,
	formatSequence,
	formatStepKey,
	parseOutput,
	type SequenceName,
	type StepResult,
} from './engine-steps.js';
export {type EntryKey, EntrySessions} from './entry-sessions.js';
export {findMismatch} from './layer-match.js';
export {createSchedulers} from './schedulers.js';
export {ServiceClient} from './service-client.js';
export {StageDesk} from './stage-desk.js';
export {createStepWork} from './step-work.js';

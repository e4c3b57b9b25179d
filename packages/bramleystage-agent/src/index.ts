/** The agent process beside a backend server. */
export {type RunningAgent, startAgent} from './agent.js';
export {CallDesk} from './call-desk.js';
export {EngineClient} from './engine-client.js';
export {
	type EngineStep,
	formatSequence,
	type SequenceName,
	type StepResult,
} from './engine-steps.js';
export {type EntryKey, EntrySessions} from './entry-sessions.js';
export {ServiceClient} from './service-client.js';
export {StageDesk} from './stage-desk.js';

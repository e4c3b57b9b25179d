/** Events and commands of the model run decisions, and what they decide by. */
import type {Decision, Milliseconds} from '../protocol/decision.js';
import type {Attempt, HostId, Incarnation, Position} from '../protocol/ids.js';
import type {Failed, Stage, StageOpened, Token} from '../protocol/messages.js';
import type {Failure} from '../protocol/result-codes.js';
import type {ModelRunState} from '../state/model-run-state.js';
import type {AllowRetry} from './call-dispatch.js';

export type ModelRunEvent =
	| {readonly type: 'started'}
	/** The routing decision; no stages when no pipeline covers the model. */
	| {
			readonly type: 'chosen';
			readonly stages: readonly Stage[] | undefined;
			/** Why there are no stages. */
			readonly failure?: Failure;
	  }
	/** The pipeline with its lost stage replaced; no stages when none can be. */
	| {readonly type: 'replaced'; readonly stages: readonly Stage[] | undefined}
	/** Time to look for a pipeline again. */
	| {readonly type: 'chooseAgain'}
	| {readonly type: 'stageOpened'; readonly message: StageOpened}
	| {readonly type: 'token'; readonly token: Token}
	| {readonly type: 'failed'; readonly host: HostId; readonly message: Failed}
	/** The host cannot be reached, or another incarnation took its place. */
	| {
			readonly type: 'hostLost';
			readonly host: HostId;
			readonly incarnation: Incarnation;
	  }
	/** A new session replaced one that may have lost messages. */
	| {
			readonly type: 'hostReturned';
			readonly host: HostId;
			readonly incarnation: Incarnation;
	  }
	| {readonly type: 'deadline'}
	| {readonly type: 'callerGone'};

export type ModelRunCommand =
	| {readonly type: 'choose'; readonly excluding: readonly HostId[]}
	| {readonly type: 'chooseLater'; readonly delayMs: Milliseconds}
	| {
			readonly type: 'chooseReplacement';
			readonly stages: readonly Stage[];
			/** Index of the stage to replace. */
			readonly index: number;
			readonly excluding: readonly HostId[];
	  }
	| {
			readonly type: 'openStage';
			readonly index: number;
			readonly stages: readonly Stage[];
			readonly attempt: Attempt;
			readonly lineage: Attempt;
			readonly keeps: boolean;
			readonly fromPosition: Position;
			readonly deadlineMs: Milliseconds;
	  }
	| {
			readonly type: 'runFirst';
			readonly attempt: Attempt;
			readonly stage: Stage;
			readonly given: readonly number[];
	  }
	| {
			readonly type: 'resumeStage';
			readonly attempt: Attempt;
			readonly stage: Stage;
			readonly replay: boolean;
	  }
	| {
			readonly type: 'acknowledge';
			readonly stages: readonly Stage[];
			readonly position: Position;
	  }
	| {
			readonly type: 'cancelStages';
			readonly stages: readonly Stage[];
			readonly upTo: Attempt;
	  }
	| {readonly type: 'giveToken'; readonly token: Token}
	| {readonly type: 'finish'}
	| {readonly type: 'failCaller'; readonly failure: Failure};

export type ModelRunDecision = Decision<ModelRunState, ModelRunCommand>;

/**
 * What becomes of a run whose stage is lost: the stage alone is replaced; or a
 * new pipeline resumes from the prompt and the tokens given; or a new pipeline
 * starts the answer over, and the caller is given the positions that it lacks.
 */
export type Recovery = 'replace' | 'resume' | 'startOver';

export type ModelRunContext = {
	readonly allowRetry: AllowRetry;
	readonly recovery: Recovery;
};

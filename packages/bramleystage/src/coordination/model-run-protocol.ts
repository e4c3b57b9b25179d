/** Events, commands and context of the model request state machine. */
import type {Decision, Milliseconds} from '../protocol/decision.js';
import type {Attempt, HostId, Incarnation, Position} from '../protocol/ids.js';
import type {Failed, Stage, StageOpened, Token} from '../protocol/messages.js';
import type {Failure} from '../protocol/result-codes.js';
import type {ModelRunState} from '../state/model-run-state.js';
import type {AllowRetry} from './call-dispatch.js';

export type ModelRunEvent =
	| {readonly type: 'started'}
	/** Routing result; `stages` is undefined if no pipeline covers the model. */
	| {
			readonly type: 'chosen';
			readonly stages: readonly Stage[] | undefined;
			/** Reason for undefined `stages`. */
			readonly failure?: Failure;
	  }
	/**
	 * Pipeline with the lost stage replaced; `stages` is undefined if there is no
	 * replacement.
	 */
	| {readonly type: 'replaced'; readonly stages: readonly Stage[] | undefined}
	/** The delay of a `chooseLater` command has passed. */
	| {readonly type: 'retryChoice'}
	| {readonly type: 'stageOpened'; readonly message: StageOpened}
	| {readonly type: 'token'; readonly token: Token}
	| {readonly type: 'failed'; readonly host: HostId; readonly message: Failed}
	/** The host is unreachable or was replaced by another incarnation. */
	| {
			readonly type: 'hostLost';
			readonly host: HostId;
			readonly incarnation: Incarnation;
	  }
	/**
	 * A new session to the host is open; messages on the previous one may be
	 * lost.
	 */
	| {
			readonly type: 'hostReconnected';
			readonly host: HostId;
			readonly incarnation: Incarnation;
	  }
	| {readonly type: 'deadline'}
	| {readonly type: 'callerDisconnected'};

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
	| {readonly type: 'deliverToken'; readonly token: Token}
	| {readonly type: 'finish'}
	| {readonly type: 'failCaller'; readonly failure: Failure};

export type ModelRunDecision = Decision<ModelRunState, ModelRunCommand>;

/**
 * How a request recovers from the loss of a stage.
 *
 * - `replace`: only the lost stage is replaced.
 * - `resume`: a new pipeline resumes from the prompt and the delivered tokens.
 * - `startOver`: a new pipeline generates the answer from the start, and only
 *   positions that the caller does not have yet are delivered.
 */
export type RecoveryMode = 'replace' | 'resume' | 'startOver';

export type ModelRunContext = {
	readonly allowRetry: AllowRetry;
	readonly recovery: RecoveryMode;
};

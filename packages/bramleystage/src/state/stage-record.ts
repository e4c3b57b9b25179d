/**
 * State that an agent keeps of one pipeline stage of a request. Attempts of one
 * lineage share it: when another stage is replaced, this stage continues under
 * a new attempt number without recomputing any token.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {Attempt, Position} from '../protocol/ids.js';
import type {
	Activation,
	Failed,
	StageOpen,
	StageRun,
	Token,
} from '../protocol/messages.js';
import type {AppendList} from './append-list.js';

/** A message that carries input of a stage. */
export type StageInput =
	| {readonly type: 'run'; readonly message: StageRun}
	| {readonly type: 'activation'; readonly message: Activation}
	/** At the first stage: a token that the last stage generated. */
	| {readonly type: 'token'; readonly message: Token};

/** A step that the engine is running. */
export type RunningStep = {
	/** First position of the step; below `position` when it covers several. */
	readonly first: Position;
	/** Last position of the step. */
	readonly position: Position;
};

export type OpenStage = {
	readonly phase: 'open';
	readonly open: StageOpen;
	/** Attempt that created the state; identifies the engine's sequence. */
	readonly sequence: Attempt;
	/** Position that this stage runs next. */
	readonly next: Position;
	readonly runningStep: RunningStep | undefined;
	/** Input that arrived while a step was running; runs after it. */
	readonly pendingInput: StageInput | undefined;
	readonly promptTokens: number | undefined;
	/** Cached prompt tokens that the stages before this one found; absent if unknown. */
	readonly cachedBefore?: readonly number[];
	/** Last output: an activation to the next stage, or a token from the last stage to the first. */
	readonly lastSent: Activation | Token | undefined;
	/** Last position of the latest replay to a next stage that had no state. */
	readonly replayedUpTo: Position | undefined;
	/** Values sent since the lineage began; undefined once they exceed the memory bound. */
	readonly retained: AppendList<readonly number[]> | undefined;
	/** Size of the retained values, in bytes. */
	readonly retainedBytes: number;
	/** At the first and last stage: tokens that the entry has not acknowledged. */
	readonly unacknowledged: readonly Token[];
};

/** Tombstone of an ended stage; rejects delayed frames of the attempts up to `attempt`. */
export type ClosedStage = {
	readonly phase: 'closed';
	readonly attempt: Attempt;
	readonly ran: boolean;
	/** Failure that ended the stage; sent again to an entry that may have missed it. */
	readonly failed: Failed | undefined;
	/** Time at which the stage ended. */
	readonly endedAt: Milliseconds;
};

export type StageRecord = OpenStage | ClosedStage;

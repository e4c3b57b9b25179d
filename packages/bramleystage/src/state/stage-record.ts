/**
 * What an agent keeps of one request's stage. Attempts of one lineage share the
 * stage's state: when another stage is replaced, this one goes on under a new
 * attempt number without running any token again.
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

/** A message that gives a stage the input of its next position. */
export type StageInput =
	| {readonly type: 'run'; readonly message: StageRun}
	| {readonly type: 'activation'; readonly message: Activation}
	/** A token from the last stage, at the first stage. */
	| {readonly type: 'token'; readonly message: Token};

/** A step that the engine has been asked for. */
export type RunningStep = {
	/** First position that the step covers; below `position` when it catches up. */
	readonly first: Position;
	readonly position: Position;
};

export type OpenStage = {
	readonly phase: 'open';
	readonly open: StageOpen;
	/** Attempt that opened the state; it names the engine's sequence. */
	readonly sequence: Attempt;
	/** Position of the token that this stage runs next. */
	readonly next: Position;
	readonly running: RunningStep | undefined;
	/** Input that came while a step was running. */
	readonly early: StageInput | undefined;
	readonly promptTokens: number | undefined;
	/** Last message sent to the next stage, or to the first one by the last. */
	readonly sent: Activation | Token | undefined;
	/** Last position of the latest replay to a next stage without state. */
	readonly replayed: Position | undefined;
	/** Values sent since the lineage began; absent once past the memory bound. */
	readonly retained: AppendList<readonly number[]> | undefined;
	/** Size of the retained values, in bytes. */
	readonly retainedBytes: number;
	/** Tokens, at the first and last stage, that the entry has not acknowledged. */
	readonly unacknowledged: readonly Token[];
};

/** An ended stage; refuses late frames of the request's attempts up to `attempt`. */
export type ClosedStage = {
	readonly phase: 'closed';
	readonly attempt: Attempt;
	readonly ran: boolean;
	/** Failure that ended the stage; told again to an entry that may lack it. */
	readonly failed: Failed | undefined;
	readonly at: Milliseconds;
};

export type StageRecord = OpenStage | ClosedStage;

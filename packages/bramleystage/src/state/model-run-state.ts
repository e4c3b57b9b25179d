/** State that an entry keeps of one model request while it runs. */
import type {Milliseconds} from '../protocol/decision.js';
import {
	type Attempt,
	type HostId,
	type Position,
	toAttempt,
	toPosition,
} from '../protocol/ids.js';
import type {Stage, StageOpened} from '../protocol/messages.js';
import {type AppendList, createAppendList} from './append-list.js';

export type ModelRunState = {
	readonly phase: 'choosing' | 'opening' | 'running' | 'done';
	readonly deadline: Milliseconds;
	readonly attempt: Attempt;
	/** First of the attempts that share the stages' state. */
	readonly lineage: Attempt;
	/** Position of the first token of the lineage. */
	readonly start: Position;
	readonly stages: readonly Stage[];
	/** Hosts whose stages keep their state from an earlier attempt. */
	readonly kept: ReadonlySet<HostId>;
	/** Replies of the stages that have opened in this attempt, by stage index. */
	readonly opened: ReadonlyMap<number, StageOpened>;
	/** Tokens sent to the caller, by position. */
	readonly deliveredTokens: AppendList<number>;
	/** Positions below this one were acknowledged to the stages. */
	readonly acknowledged: Position;
	/** Hosts that failed this request although they were reachable. */
	readonly avoided: readonly HostId[];
	/** Backend servers that were lost while they ran this request, since the last token. */
	readonly lostBackends: number;
};

export function createModelRun(deadline: Milliseconds): ModelRunState {
	return {
		phase: 'choosing',
		deadline,
		attempt: toAttempt(0),
		lineage: toAttempt(0),
		start: toPosition(0),
		stages: [],
		kept: new Set(),
		opened: new Map(),
		deliveredTokens: createAppendList(),
		acknowledged: toPosition(0),
		avoided: [],
		lostBackends: 0,
	};
}

/** Returns the position of the next token of the answer. */
export const findNextPosition = (state: ModelRunState) =>
	toPosition(state.deliveredTokens.length);

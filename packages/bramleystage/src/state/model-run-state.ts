/** What an entry keeps of one model request while it runs. */
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
	/** First of the attempts whose stages share their state. */
	readonly lineage: Attempt;
	/** Position that the lineage began at. */
	readonly start: Position;
	readonly stages: readonly Stage[];
	/** Hosts that keep the state that they had in an earlier attempt. */
	readonly kept: ReadonlySet<HostId>;
	/** What the stages said when they opened in this attempt, by index. */
	readonly opened: ReadonlyMap<number, StageOpened>;
	/** Tokens given to the caller, by position. */
	readonly given: AppendList<number>;
	/** Positions below this one were acknowledged to the stages. */
	readonly acknowledged: Position;
	/** Hosts that failed this request while they could be reached. */
	readonly avoided: readonly HostId[];
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
		given: createAppendList(),
		acknowledged: toPosition(0),
		avoided: [],
	};
}

/** Position that the answer continues from. */
export const findNextPosition = (state: ModelRunState) =>
	toPosition(state.given.length);

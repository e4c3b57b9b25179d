/**
 * Opening of the stages of one attempt. A lineage is a sequence of attempts
 * that share stage state. Its first attempt opens every stage without state.
 * A later attempt replaces some stages; the others keep their state and, once
 * all stages are open, replay to the new ones the activations that they lack.
 */
import type {Milliseconds} from '../protocol/decision.js';
import {type HostId, toAttempt, toPosition} from '../protocol/ids.js';
import type {Stage, StageOpened} from '../protocol/messages.js';
import {listItems} from '../state/append-list.js';
import {
	findNextPosition,
	type ModelRunState,
} from '../state/model-run-state.js';
import type {
	ModelRunCommand,
	ModelRunDecision,
	RecoveryMode,
} from './model-run-protocol.js';

/** Starts a new lineage on a pipeline whose stages have no state. */
export function decideNewLineage(
	state: ModelRunState,
	stages: readonly Stage[],
	recovery: RecoveryMode,
	now: Milliseconds,
): ModelRunDecision {
	const attempt = toAttempt(state.attempt + 1);
	const start =
		recovery === 'startOver' ? toPosition(0) : findNextPosition(state);
	return openAllStages(
		{
			...state,
			phase: 'opening',
			attempt,
			lineage: attempt,
			start,
			stages,
			kept: new Set(),
			opened: new Map(),
		},
		now,
	);
}

/**
 * Continues the lineage on a pipeline that shares stages with the previous one.
 */
export function decideNextAttempt(
	state: ModelRunState,
	stages: readonly Stage[],
	now: Milliseconds,
): ModelRunDecision {
	const kept = new Set<HostId>();
	for (const [index, {host}] of state.stages.entries()) {
		// A stage that has not confirmed its opening may have no state to keep.
		if (state.kept.has(host) || state.opened.has(index)) {
			kept.add(host);
		}
	}

	return openAllStages(
		{
			...state,
			phase: 'opening',
			attempt: toAttempt(state.attempt + 1),
			stages,
			kept: new Set(
				stages.map(({host}) => host).filter((host) => kept.has(host)),
			),
			opened: new Map(),
		},
		now,
	);
}

function openAllStages(
	state: ModelRunState,
	now: Milliseconds,
): ModelRunDecision {
	return [
		state,
		state.stages.map((_, index) => createOpenStageCommand(state, index, now)),
	];
}

/** Creates the command that opens one stage. */
export function createOpenStageCommand(
	state: ModelRunState,
	index: number,
	now: Milliseconds,
): ModelRunCommand {
	const {attempt, lineage, stages, kept, start, deadline} = state;
	const stage = stages[index];
	return {
		type: 'openStage',
		index,
		stages,
		attempt,
		lineage,
		keeps: stage !== undefined && kept.has(stage.host),
		fromPosition: start,
		deadlineMs: Math.max(0, deadline - now),
	};
}

/**
 * Whether the open stages can continue after the delivered tokens. Each must
 * have run all delivered positions, one more, or none. A stage that has run
 * none needs a replay, so its predecessor must still retain its activations,
 * unless the predecessor has run none either.
 */
export function isResumable(state: ModelRunState): boolean {
	const {length} = state.deliveredTokens;
	return state.stages.every((_, index) => {
		const next = state.opened.get(index)?.next;
		const isExpected =
			next === state.start || next === length || next === length + 1;
		const prior = state.opened.get(index - 1);
		const needsReplay = prior !== undefined && isAtStart(state, index);
		const canReplay = prior?.retains ?? true;
		return isExpected && (!needsReplay || !hasRun(state, prior) || canReplay);
	});
}

const hasRun = ({start}: ModelRunState, opened: StageOpened) =>
	opened.next > start;

function isAtStart(state: ModelRunState, index: number): boolean {
	const stage = state.stages[index];
	const next = state.opened.get(index)?.next ?? state.start;
	return stage !== undefined && next === state.start;
}

/** Lists the commands that start the stages of an attempt once all are open. */
export const listStartCommands = (state: ModelRunState): ModelRunCommand[] =>
	state.stages.flatMap((_, index) => listStageStartCommands(state, index));

/** Lists the commands that start one stage; sending them again is safe. */
export function listStageStartCommands(
	state: ModelRunState,
	index: number,
): ModelRunCommand[] {
	const {attempt, kept} = state;
	const stage = state.stages[index];
	if (!stage) {
		return [];
	}

	const commands: ModelRunCommand[] = [];
	if (index === 0 && isAtStart(state, 0)) {
		const tokens = listItems(state.deliveredTokens);
		const given = kept.size > 0 ? tokens : tokens.slice(0, state.start);
		commands.push({type: 'runFirst', attempt, stage, given});
	}

	if (kept.has(stage.host)) {
		const replay = isAtStart(state, index + 1);
		commands.push({type: 'resumeStage', attempt, stage, replay});
	}

	return commands;
}

/**
 * Opening of the stages of one attempt. The first attempt of a lineage opens
 * every stage without state. A later one replaces some stages: the others keep
 * their state, and send the new ones what they lack once all are open.
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
	Recovery,
} from './model-run-protocol.js';

/** Starts a new lineage on a pipeline of stages that have no state. */
export function decideNewLineage(
	state: ModelRunState,
	stages: readonly Stage[],
	recovery: Recovery,
	now: Milliseconds,
): ModelRunDecision {
	const attempt = toAttempt(state.attempt + 1);
	const start =
		recovery === 'startOver' ? toPosition(0) : findNextPosition(state);
	return openAll(
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

/** Goes on with the lineage on a pipeline that shares stages with the last one. */
export function decideNextAttempt(
	state: ModelRunState,
	stages: readonly Stage[],
	now: Milliseconds,
): ModelRunDecision {
	const kept = new Set<HostId>();
	for (const [index, {host}] of state.stages.entries()) {
		// A stage that did not say that it is open may have no state to keep.
		if (state.kept.has(host) || state.opened.has(index)) {
			kept.add(host);
		}
	}

	return openAll(
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

function openAll(state: ModelRunState, now: Milliseconds): ModelRunDecision {
	return [
		state,
		state.stages.map((_, index) => createOpenStage(state, index, now)),
	];
}

/** Asks one stage to open. */
export function createOpenStage(
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
 * Whether the open stages can go on from the tokens given. Each has run every
 * position given, or one more, or none; a stage that has run none is fed by
 * the one before it.
 */
export function isContinuable(state: ModelRunState): boolean {
	const {length} = state.given;
	return state.stages.every((_, index) => {
		const next = state.opened.get(index)?.next;
		const isKnown =
			next === state.start || next === length || next === length + 1;
		const before = state.opened.get(index - 1);
		const needsReplay = before !== undefined && isUnfed(state, index);
		const canReplay = before?.retains ?? true;
		return isKnown && (!needsReplay || !hasRun(state, before) || canReplay);
	});
}

const hasRun = ({start}: ModelRunState, opened: StageOpened) =>
	opened.next > start;

function isUnfed(state: ModelRunState, index: number): boolean {
	const stage = state.stages[index];
	const next = state.opened.get(index)?.next ?? state.start;
	return stage !== undefined && next === state.start;
}

/** Lists what sets the stages of the attempt going, once all are open. */
export const listStarts = (state: ModelRunState): ModelRunCommand[] =>
	state.stages.flatMap((_, index) => listStageStarts(state, index));

/** Lists what sets one stage going; safe to send again. */
export function listStageStarts(
	state: ModelRunState,
	index: number,
): ModelRunCommand[] {
	const {attempt, kept} = state;
	const stage = state.stages[index];
	if (!stage) {
		return [];
	}

	const commands: ModelRunCommand[] = [];
	if (index === 0 && isUnfed(state, 0)) {
		const tokens = listItems(state.given);
		const given = kept.size > 0 ? tokens : tokens.slice(0, state.start);
		commands.push({type: 'runFirst', attempt, stage, given});
	}

	if (kept.has(stage.host)) {
		const replay = isUnfed(state, index + 1);
		commands.push({type: 'resumeStage', attempt, stage, replay});
	}

	return commands;
}

/** Converts engine steps to work items of the agent's scheduler. */
import {
	estimatePromptTokens,
	type Stage,
	type StageOpen,
	type StepInput,
	type WorkItem,
} from 'bramleystage';
import type {EngineStep} from './engine-steps.js';

/** What an agent knows of the prompts that its engine keeps. */
export type PromptCache = {
	/** Estimates how many tokens of a stage's prompt the engine keeps. */
	readonly estimateTokens: (open: StageOpen) => number;
	/** Called when the engine has run the prompt of a stage. */
	readonly recordRun: (open: StageOpen) => void;
};

/** Added to the priority of steps after the first, so that a started stream keeps its pace. */
const continuationPriority = 10;

/**
 * Creates the work item of a step, shared by customer and model; its cost is in
 * layer-tokens. Tokens of the prompt that the engine keeps cost nothing.
 */
export function createStepWork(
	step: EngineStep,
	cache: Pick<PromptCache, 'estimateTokens'>,
): WorkItem<EngineStep> {
	const {open, input} = step;
	const isContinuation = step.position > open.fromPosition;
	const spared = isContinuation ? 0 : cache.estimateTokens(open);
	const tokens = Math.max(1, countTokens(input) - spared);
	return {
		sharePath: [
			{key: open.customer, weight: open.weight},
			{key: open.model, weight: 1},
		],
		cost: tokens * countLayers(open.stages[open.index]),
		priority: open.priority + (isContinuation ? continuationPriority : 0),
		value: step,
	};
}

function countTokens(input: StepInput): number {
	switch (input.kind) {
		case 'prompt': {
			return estimatePromptTokens(input.prompt) + input.given.length;
		}

		case 'token': {
			return 1;
		}

		case 'values': {
			return input.values.length;
		}
	}
}

const countLayers = (stage: Stage | undefined) =>
	stage ? stage.toLayer - stage.fromLayer : 1;

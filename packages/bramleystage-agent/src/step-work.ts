/** Converts engine steps to work items of the agent's scheduler. */
import {
	estimatePromptTokens,
	type Stage,
	type StepInput,
	type WorkItem,
} from 'bramleystage';
import type {EngineStep} from './engine-steps.js';

/** Added to the priority of steps after the first, so that a started stream keeps its pace. */
const continuationPriority = 10;

/**
 * Creates the work item of a step, shared by customer and model; its cost is in
 * layer-tokens. `cachedTokens` of the prompt are expected to cost nothing.
 */
export function createStepWork(
	step: EngineStep,
	cachedTokens: number,
): WorkItem<EngineStep> {
	const {open, input} = step;
	const isContinuation = step.position > open.fromPosition;
	const spared = isContinuation ? 0 : cachedTokens;
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

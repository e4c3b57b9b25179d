/** Simulates the engine of a host with the layers of the stand-in engine. */
import type {
	StageCommand,
	StageRecord,
	StepInput,
	StepOutput,
} from 'bramleystage';
import {selectToken, encodeText, LayerRunner} from 'bramleystage-stand-ins';

/** Number of layers of the simulated model. */
export const simulatedLayerCount = 12;

/** State of one sequence at an engine; `next` is the next expected position. */
type EngineSequence = {
	readonly layers: LayerRunner;
	next: number | undefined;
	readonly outputs: Map<number, StepOutput>;
};

/**
 * A simulated host: its agent's record of the request, and its engine's
 * sequences.
 */
export type SimulatedHost = {
	readonly index: number;
	incarnation: number;
	engineIncarnation: number;
	isUp: boolean;
	pausedUntil: number;
	record: StageRecord | undefined;
	sequences: Map<string, EngineSequence>;
};

/**
 * Runs a step as the stand-in engine does. Returns undefined if the engine has
 * lost the sequence; throws if the position is not the next one.
 */
export function runEngineStep(
	host: SimulatedHost,
	name: string,
	{open, position, input}: Extract<StageCommand, {type: 'runStep'}>,
): StepOutput | undefined {
	const stage = open.stages[open.index];
	if (!stage) {
		throw new Error('The request has no stage for this step.');
	}

	const known = host.sequences.get(name);
	const isFirstStep =
		host.record?.phase === 'open' && hasRunNoStep(host.record);
	if (!known && !isFirstStep) {
		return undefined;
	}

	const sequence: EngineSequence = known ?? {
		layers: new LayerRunner(stage.fromLayer, stage.toLayer),
		next: undefined,
		outputs: new Map(),
	};
	host.sequences.set(name, sequence);
	if (sequence.next !== undefined && sequence.next !== position) {
		throw new Error(
			`Received position ${position}, expected ${sequence.next}.`,
		);
	}

	sequence.next = position + 1;
	const values = sequence.layers.run(listInputs(input));
	const isLast = stage.toLayer === simulatedLayerCount;
	return {
		position,
		values: isLast ? [] : values,
		token: isLast ? {...selectToken(values.at(-1) ?? 0), text: ''} : undefined,
		promptTokens: values.length,
	};
}

const hasRunNoStep = ({next, open}: Extract<StageRecord, {phase: 'open'}>) =>
	next === open.fromPosition;

function listInputs(input: StepInput): readonly number[] {
	switch (input.kind) {
		case 'prompt': {
			return [...encodeText(input.prompt), ...input.given];
		}

		case 'token': {
			return [input.token];
		}

		case 'values': {
			return input.values;
		}
	}
}

/** The stand-in's layers as engines of a simulated host, under virtual time. */
import type {
	StageCommand,
	StageRecord,
	StepInput,
	StepOutput,
} from 'bramleystage';
import {drawToken, encodeText, LayerRange} from 'bramleystage-stand-ins';

/** Layers of the simulated model. */
export const simulatedLayers = 12;

type EngineSequence = {
	readonly layers: LayerRange;
	next: number | undefined;
	readonly outputs: Map<number, StepOutput>;
};

/** A host: its agent's record of the request, and its engine. */
export type SimulatedHost = {
	readonly index: number;
	incarnation: number;
	engineLife: number;
	isUp: boolean;
	pausedUntil: number;
	record: StageRecord | undefined;
	sequences: Map<string, EngineSequence>;
};

/** Runs a step as the stand-in engine does; nothing for a sequence it lost. */
export function runAtEngine(
	host: SimulatedHost,
	name: string,
	{open, position, input}: Extract<StageCommand, {type: 'runStep'}>,
): StepOutput | undefined {
	const stage = open.stages[open.index];
	if (!stage) {
		throw new Error('A step without a stage.');
	}

	const known = host.sequences.get(name);
	const isFirst = host.record?.phase === 'open' && isUnrun(host.record);
	if (!known && !isFirst) {
		return undefined;
	}

	const sequence: EngineSequence = known ?? {
		layers: new LayerRange(stage.fromLayer, stage.toLayer),
		next: undefined,
		outputs: new Map(),
	};
	host.sequences.set(name, sequence);
	if (sequence.next !== undefined && sequence.next !== position) {
		throw new Error(`Position ${position} came instead of ${sequence.next}.`);
	}

	sequence.next = position + 1;
	const values = sequence.layers.run(listInputs(input));
	const isLast = stage.toLayer === simulatedLayers;
	return {
		position,
		values: isLast ? [] : values,
		token: isLast ? {...drawToken(values.at(-1) ?? 0), text: ''} : undefined,
		promptTokens: values.length,
	};
}

const isUnrun = ({next, open}: Extract<StageRecord, {phase: 'open'}>) =>
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

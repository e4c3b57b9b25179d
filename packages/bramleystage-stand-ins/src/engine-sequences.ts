/**
 * Sequences of the engine's stand-in. A step that was already run gives its
 * recorded output again, so that a step whose answer was lost can be asked for
 * once more.
 */
import type {CacheState, Step, StepAnswer} from './engine-schema.js';
import type {PrefixCache} from './prefix-cache.js';
import {
	decodeToken,
	drawToken,
	encodeText,
	LayerRange,
} from './reference-model.js';

type Sequence = {
	readonly layers: LayerRange;
	readonly outputs: Map<number, StepAnswer>;
	next: number | undefined;
};

/** Outputs that a sequence keeps. */
const maxRecordedOutputs = 64;

export class SequenceStore {
	readonly #sequences = new Map<string, Sequence>();
	#stepsRun = 0;

	constructor(
		private readonly modelLayers: number,
		private readonly cache: PrefixCache,
		private readonly readClock: () => number,
	) {}

	get size(): number {
		return this.#sequences.size;
	}

	/** Steps that were run, without those answered from the record. */
	get stepsRun(): number {
		return this.#stepsRun;
	}

	/** Runs a step, or gives the output that it gave before. */
	run(step: Step): StepAnswer {
		const {sequence: name, position} = step;
		const sequence = this.#find(step);
		const recorded = sequence.outputs.get(position);
		if (recorded) {
			return recorded;
		}

		if (sequence.next !== undefined && sequence.next !== position) {
			return {sequence: name, position, error: 'out of order'};
		}

		const output = this.#runNext(sequence, step);
		sequence.next = position + 1;
		sequence.outputs.set(position, output);
		sequence.outputs.delete(position - maxRecordedOutputs);
		this.#stepsRun++;
		return output;
	}

	/** Lists the recorded outputs from a position on, to resume a stream. */
	listOutputs(name: string, from: number): StepAnswer[] | undefined {
		const sequence = this.#sequences.get(name);
		return (
			sequence &&
			[...sequence.outputs.values()].filter(({position}) => position >= from)
		);
	}

	/** Drops a sequence; false if there was none. */
	remove(name: string): boolean {
		return this.#sequences.delete(name);
	}

	/** Reads a sequence's KV cache. */
	read(name: string): CacheState | undefined {
		const sequence = this.#sequences.get(name);
		if (!sequence) {
			return undefined;
		}

		const {fromLayer, toLayer, snapshot} = sequence.layers;
		return {
			fromLayer,
			toLayer,
			position: sequence.next ?? 0,
			states: [...snapshot.states],
			index: snapshot.index,
		};
	}

	/** Makes a sequence from an exported KV cache. */
	restore(name: string, state: CacheState): void {
		const {fromLayer, toLayer, position, states, index} = state;
		const layers = new LayerRange(fromLayer, toLayer, {states, index});
		this.#sequences.set(name, {layers, outputs: new Map(), next: position});
	}

	#find({sequence: name, fromLayer, toLayer}: Step): Sequence {
		const known = this.#sequences.get(name);
		if (known) {
			return known;
		}

		const created: Sequence = {
			layers: new LayerRange(fromLayer, toLayer),
			outputs: new Map(),
			next: undefined,
		};
		this.#sequences.set(name, created);
		return created;
	}

	#runNext(sequence: Sequence, step: Step): StepAnswer {
		const inputs = listInputs(step);
		const isFirst = sequence.next === undefined;
		const cachedTokens = isFirst ? this.cache.add(inputs, this.readClock()) : 0;
		const values = sequence.layers.run(inputs);
		const isLast = step.toLayer === this.modelLayers;
		return {
			sequence: step.sequence,
			position: step.position,
			values: isLast ? [] : values,
			token: isLast ? describeToken(values.at(-1) ?? 0) : undefined,
			promptTokens: inputs.length,
			cachedTokens,
		};
	}
}

/** Lists what a step feeds to its first layer, one number for each token. */
export function listInputs({input}: Step): readonly number[] {
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

function describeToken(activation: number): StepAnswer['token'] {
	const {id, isEnd} = drawToken(activation);
	return {id, isEnd, text: decodeToken(id)};
}

/**
 * Sequences of the engine stand-in. Steps are idempotent: for a step that has
 * already run, the recorded output is returned, so that a client can retry a
 * step whose response was lost.
 */
import type {KvCacheState, Step, StepOutput} from './engine-schema.js';
import type {PrefixCache} from './prefix-cache.js';
import {
	decodeToken,
	selectToken,
	encodeText,
	LayerRunner,
} from './reference-model.js';

type Sequence = {
	readonly layers: LayerRunner;
	readonly outputs: Map<number, StepOutput>;
	next: number | undefined;
};

/** Maximum number of recorded outputs of a sequence. */
const maxRecordedOutputs = 64;

export class SequenceStore {
	readonly #sequences = new Map<string, Sequence>();
	#stepsRun = 0;

	constructor(
		private readonly modelLayers: number,
		private readonly prefixCache: PrefixCache,
		private readonly readClock: () => number,
	) {}

	get size(): number {
		return this.#sequences.size;
	}

	/** Number of steps that were run, without those answered by a recorded output. */
	get stepsRun(): number {
		return this.#stepsRun;
	}

	/** Runs a step; returns the recorded output if it has already run. */
	run(step: Step): StepOutput {
		const {sequence: name, position} = step;
		const sequence = this.#findOrCreate(step);
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

	/**
	 * Lists the recorded outputs from a position, to resume a stream; undefined for
	 * an unknown sequence.
	 */
	listOutputs(name: string, from: number): StepOutput[] | undefined {
		const sequence = this.#sequences.get(name);
		return (
			sequence &&
			[...sequence.outputs.values()].filter(({position}) => position >= from)
		);
	}

	/** Removes a sequence; false if it is unknown. */
	remove(name: string): boolean {
		return this.#sequences.delete(name);
	}

	/** Exports a sequence's KV cache; undefined for an unknown sequence. */
	exportState(name: string): KvCacheState | undefined {
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

	/** Creates a sequence from an exported KV cache. */
	importState(name: string, state: KvCacheState): void {
		const {fromLayer, toLayer, position, states, index} = state;
		const layers = new LayerRunner(fromLayer, toLayer, {states, index});
		this.#sequences.set(name, {layers, outputs: new Map(), next: position});
	}

	#findOrCreate({sequence: name, fromLayer, toLayer}: Step): Sequence {
		const known = this.#sequences.get(name);
		if (known) {
			return known;
		}

		const created: Sequence = {
			layers: new LayerRunner(fromLayer, toLayer),
			outputs: new Map(),
			next: undefined,
		};
		this.#sequences.set(name, created);
		return created;
	}

	#runNext(sequence: Sequence, step: Step): StepOutput {
		const inputs = listStepInputs(step);
		const isFirst = sequence.next === undefined;
		const cachedTokens = isFirst
			? this.prefixCache.add(inputs, this.readClock())
			: 0;
		const values = sequence.layers.run(inputs);
		const isLast = step.toLayer === this.modelLayers;
		return {
			sequence: step.sequence,
			position: step.position,
			values: isLast ? [] : values,
			token: isLast ? createToken(values.at(-1) ?? 0) : undefined,
			promptTokens: inputs.length,
			cachedTokens,
		};
	}
}

/** Lists the inputs of a step's first layer, one number for each token. */
export function listStepInputs({input}: Step): readonly number[] {
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

function createToken(activation: number): StepOutput['token'] {
	const {id, isEnd} = selectToken(activation);
	return {id, isEnd, text: decodeToken(id)};
}

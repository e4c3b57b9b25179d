/**
 * Deterministic model of the engine stand-in. An activation is a digest of the
 * layer, the token index, the input and the state of the layer. The activation
 * of the last layer determines the token. If a layer is skipped, run twice or
 * run out of order, the text differs from the reference completion, which
 * depends only on the prompt.
 */
import xxhash from 'xxhash-wasm';

const {h32, h32Raw} = await xxhash();

/** Number of tokens; a token is an integer from 0 to below it and represents a word. */
export const vocabularySize = 4096;

/** Mean number of tokens until a token ends the completion. */
const meanTokensPerCompletion = 256;

const scratch = new Uint32Array(4);
const scratchBytes = new Uint8Array(scratch.buffer);

/** State of one layer for one sequence; 0 before the first token. */
export type LayerState = number;

/** Runs one layer for one token; the result is also the layer's next state. */
export function runLayer(
	layer: number,
	index: number,
	input: number,
	state: LayerState,
): number {
	scratch[0] = layer;
	scratch[1] = index;
	scratch[2] = input;
	scratch[3] = state;
	return h32Raw(scratchBytes);
}

/** Splits a text into token ids, one for each word. */
export function encodeText(text: string): number[] {
	const words = text.split(/\s+/v).filter((word) => word !== '');
	return words.map((word) => h32(word) % vocabularySize);
}

const consonants = 'bdfgklmnprstvz';
const vowels = 'aeiou';

/** Decodes a token to its text: a space and a word. */
export function decodeToken(token: number): string {
	let rest = token;
	let word = ' ';
	for (let syllable = 0; syllable < 2; syllable++) {
		word += consonants[rest % consonants.length] ?? '';
		rest = Math.floor(rest / consonants.length);
		word += vowels[rest % vowels.length] ?? '';
		rest = Math.floor(rest / vowels.length);
	}

	return word;
}

/** Derives the token from the last layer's activation; `isEnd` if it ends the completion. */
export function selectToken(activation: number): {id: number; isEnd: boolean} {
	const id = activation % vocabularySize;
	return {
		id,
		isEnd:
			Math.floor(activation / vocabularySize) % meanTokensPerCompletion === 0,
	};
}

/** Runs a range of layers and keeps their state for one sequence. */
export class LayerRunner {
	readonly #states: LayerState[];
	#index = 0;

	constructor(
		readonly fromLayer: number,
		readonly toLayer: number,
		restored?: {states: readonly LayerState[]; index: number},
	) {
		this.#states = restored
			? [...restored.states]
			: Array.from({length: toLayer - fromLayer}, () => 0);
		this.#index = restored?.index ?? 0;
	}

	/** State for export: the state of each layer, and the next token index. */
	get snapshot(): {states: readonly LayerState[]; index: number} {
		return {states: [...this.#states], index: this.#index};
	}

	/** Runs every layer of the range, in order, for each input in turn. */
	run(inputs: readonly number[]): number[] {
		return inputs.map((input) => this.#runToken(input));
	}

	#runToken(input: number): number {
		let value = input;
		for (let offset = 0; offset < this.#states.length; offset++) {
			value = runLayer(
				this.fromLayer + offset,
				this.#index,
				value,
				this.#states[offset] ?? 0,
			);
			this.#states[offset] = value;
		}

		this.#index++;
		return value;
	}
}

/** Completion of a prompt: token ids, the text, and the reason for its end. */
export type ReferenceCompletion = {
	readonly tokens: readonly number[];
	readonly text: string;
	readonly finish: 'stop' | 'length';
};

/** Computes the completion of a prompt with a complete model of `layers` layers. */
export function computeReferenceCompletion(
	prompt: string,
	layers: number,
	maxTokens: number,
): ReferenceCompletion {
	const model = new LayerRunner(0, layers);
	const tokens: number[] = [];
	let text = '';
	let inputs = encodeText(prompt);
	while (tokens.length < maxTokens) {
		const token = selectToken(model.run(inputs).at(-1) ?? 0);
		tokens.push(token.id);
		text += decodeToken(token.id);
		if (token.isEnd) {
			return {tokens, text, finish: 'stop'};
		}

		inputs = [token.id];
	}

	return {tokens, text, finish: 'length'};
}

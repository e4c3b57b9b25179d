/**
 * Names of prompt prefixes. A prompt is split into blocks of characters, since
 * only engines can tokenize it. The name of a block is a hash chained over the
 * blocks before it, so that equal names mean equal beginnings. Later blocks are
 * longer: a prompt of any length has at most 64 names, and a prefix is measured
 * to about an eighth of its length.
 */
import xxhash from 'xxhash-wasm';
import type {ModelName} from '../protocol/ids.js';
import {maxPrefixBlocks} from '../protocol/prefix-messages.js';
import {charactersPerToken} from './prompt-tokens.js';

const {h32} = await xxhash();

/** Characters of each of the first blocks. */
const firstBlockCharacters = 128;
/** Number of blocks after which the length of a block doubles. */
const blocksPerLength = 16;
/** Odd multiplier that spreads the bits of a layer number over a hash. */
const layerMultiplier = 0x9e_37_79_b1;
/** Above the layers of any model; the product with the multiplier stays exact. */
const maxLayers = 1024;
/** Number of values of a hash. */
const hashRange = 2 ** 32;

/** Names of the leading blocks of a prompt, or of what a stage keeps of them. */
export type PrefixBlocks = readonly number[];

const countCharacters = (index: number) =>
	firstBlockCharacters * 2 ** Math.floor(index / blocksPerLength);

/** Estimates the number of tokens of the block with an index. */
export const computeBlockTokens = (index: number) =>
	countCharacters(index) / charactersPerToken;

/** Lists the names of the complete blocks of a prompt for a version of a model. */
export function listPrefixBlocks(
	model: ModelName,
	version: string,
	prompt: string,
): PrefixBlocks {
	const blocks: number[] = [];
	let hash = h32(`${model}/${version}`);
	let start = 0;
	while (blocks.length < maxPrefixBlocks) {
		const end = start + countCharacters(blocks.length);
		if (end > prompt.length) {
			break;
		}

		hash = h32(prompt.slice(start, end), hash);
		blocks.push(hash);
		start = end;
	}

	return blocks;
}

/**
 * Lists the names of what a stage of the given layers keeps of a prompt. Other
 * layers keep another state, so a prefix counts only for the same layers.
 */
export function listStageBlocks(
	blocks: PrefixBlocks,
	{fromLayer, toLayer}: {readonly fromLayer: number; readonly toLayer: number},
): PrefixBlocks {
	const offset = (fromLayer * maxLayers + toLayer) * layerMultiplier;
	return blocks.map((block) => (block + offset) % hashRange);
}

/**
 * Prefix blocks that an engine is expected to keep, in order of their last use.
 * Both the number of blocks and their tokens are bounded: the least recently
 * used ones are removed first, as engines do.
 */
import type {Milliseconds} from '../protocol/decision.js';
import {computeBlockTokens, type PrefixBlocks} from './prefix-blocks.js';

/**
 * Maximum number of blocks known of one host; about 100 KB, and 25 MB at the
 * default of 256 agent sessions.
 */
const maxBlocksPerHost = 1024;

type KnownBlock = {
	readonly tokens: number;
	readonly usedAt: Milliseconds;
	/** Number of prompts that had this block. */
	readonly uses: number;
};

export class PrefixTable {
	readonly #blocks = new Map<number, KnownBlock>();
	#tokens = 0;

	constructor(private readonly onRemoved?: (block: number) => void) {}

	get size(): number {
		return this.#blocks.size;
	}

	/** Estimated tokens of all blocks. */
	get tokens(): number {
		return this.#tokens;
	}

	/** Records a use of a block; returns how many prompts have had it. */
	add(block: number, tokens: number, now: Milliseconds): number {
		const known = this.#blocks.get(block);
		const uses = (known?.uses ?? 0) + 1;
		const heldTokens = Math.max(tokens, known?.tokens ?? 0);
		// Deleted first, so that the map keeps the order of last use.
		this.#blocks.delete(block);
		this.#blocks.set(block, {tokens: heldTokens, usedAt: now, uses});
		this.#tokens += heldTokens - (known?.tokens ?? 0);
		if (this.#blocks.size > maxBlocksPerHost) {
			this.#removeOldest();
		}

		return uses;
	}

	has(block: number): boolean {
		return this.#blocks.has(block);
	}

	remove(block: number): void {
		const known = this.#blocks.get(block);
		if (known) {
			this.#blocks.delete(block);
			this.#tokens -= known.tokens;
			this.onRemoved?.(block);
		}
	}

	/** Removes the least recently used blocks beyond a number of tokens. */
	removeBeyond(maxTokens: number): void {
		while (this.#tokens > maxTokens && this.#blocks.size > 0) {
			this.#removeOldest();
		}
	}

	/** Estimates the leading tokens that are held by blocks used since a time. */
	estimateTokens(blocks: PrefixBlocks, usedSince: Milliseconds): number {
		let tokens = 0;
		for (const [index, block] of blocks.entries()) {
			const known = this.#blocks.get(block);
			if (!known || known.usedAt < usedSince) {
				break;
			}

			tokens += computeBlockTokens(index);
		}

		return tokens;
	}

	#removeOldest(): void {
		const [oldest] = this.#blocks.keys();
		if (oldest !== undefined) {
			this.remove(oldest);
		}
	}
}

/**
 * What an agent knows of the prompt prefixes that its engine keeps, and its
 * report of them. The agent sees the prompts of all entries and, late, how many
 * blocks its engine has evicted. Only blocks that several prompts had are
 * reported, since nobody else asks for the others; so reports stay small when
 * most prompts have an end of their own.
 */
import type {Milliseconds} from '../protocol/decision.js';
import {
	maxReportedChanges,
	type PrefixReport,
} from '../protocol/prefix-messages.js';
import {computeBlockTokens, type PrefixBlocks} from './prefix-blocks.js';
import {PrefixTable} from './prefix-table.js';

type Change = {readonly block: number; readonly isRemoved: boolean};

/** Number of prompts with a block from which on it is reported. */
const minReportedUses = 2;
/**
 * Interval after which a block that is still used is reported again; half of
 * the time for which entries expect an unused block to be kept.
 */
const renewalMs = 60_000;

export class PrefixLedger {
	/** Blocks that entries were told of, with the time of it. */
	readonly #reportedAt = new Map<number, Milliseconds>();
	#table = this.#createTable();
	#changes: readonly Change[] = [];
	#nextChange = 0;
	#epoch = 0;
	#capacityTokens: number | undefined;

	/** Number of blocks that the engine is expected to keep. */
	get size(): number {
		return this.#table.size;
	}

	/** Estimates how many leading tokens of a prompt the engine keeps. */
	estimateTokens(blocks: PrefixBlocks): number {
		return this.#table.estimateTokens(blocks, -Infinity);
	}

	/** Records a prompt that the engine has run and so keeps. */
	recordRun(blocks: PrefixBlocks, now: Milliseconds): void {
		for (const [index, block] of blocks.entries()) {
			const uses = this.#table.add(block, computeBlockTokens(index), now);
			const reportedAt = this.#reportedAt.get(block) ?? -Infinity;
			if (uses >= minReportedUses && now - reportedAt >= renewalMs) {
				this.#reportedAt.set(block, now);
				this.#addChange({block, isRemoved: false});
			}
		}
	}

	/**
	 * Records that the engine has removed tokens of unknown blocks. Engines evict
	 * the least recently used blocks, so these are no longer expected.
	 */
	recordRemoved(tokens: number): void {
		this.#table.removeBeyond(Math.max(0, this.#table.tokens - tokens));
	}

	/** Records how many tokens the engine keeps at most. */
	recordCapacity(tokens: number): void {
		this.#capacityTokens = tokens;
		this.#table.removeBeyond(tokens);
	}

	/** Forgets everything: the engine was restarted, or its events have a gap. */
	reset(): void {
		this.#epoch++;
		this.#reportedAt.clear();
		this.#table = this.#createTable();
		this.#changes = [];
		this.#capacityTokens = undefined;
	}

	/** Creates the report of the latest changes; `room` is the free room for steps. */
	createReport(room: number): PrefixReport {
		const changes = this.#changes;
		return {
			epoch: this.#epoch,
			first: this.#nextChange - changes.length,
			blocks: changes.map(({block}) => block),
			removed: changes.flatMap(({isRemoved}, index) =>
				isRemoved ? [index] : [],
			),
			...(this.#capacityTokens !== undefined && {
				capacityTokens: this.#capacityTokens,
			}),
			room,
		};
	}

	#createTable(): PrefixTable {
		return new PrefixTable((block) => {
			if (this.#reportedAt.delete(block)) {
				this.#addChange({block, isRemoved: true});
			}
		});
	}

	#addChange(change: Change): void {
		this.#nextChange++;
		this.#changes = [...this.#changes, change].slice(-maxReportedChanges);
	}
}

/**
 * The engine stand-in's cache of prompt prefixes: blocks of tokens, each named
 * by a digest chained over the blocks before it, in a limited number. Its
 * events appear late, and some never do.
 */
import {LRUCache} from 'lru-cache';
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Tokens of one block. */
export const blockTokens = 16;

export type PrefixCacheOptions = {
	/** Blocks that are kept; the least recently used go first. */
	readonly maxBlocks: number;
	/** How long after its change an event appears, in milliseconds. */
	readonly eventLagMs: number;
	/** One event in this many is lost; 0 loses none. */
	readonly loseEvery: number;
};

export const defaultPrefixCacheOptions: PrefixCacheOptions = {
	maxBlocks: 512,
	eventLagMs: 200,
	loseEvery: 10,
};

export type CacheEvent = {
	/** Numbers count every event, so that a lost one leaves a gap. */
	readonly number: number;
	readonly type: 'stored' | 'removed';
	readonly block: string;
	/** The block before it; absent for the first of a prompt. */
	readonly parent?: string;
	readonly tokens?: readonly number[];
};

const maxEvents = 10_000;

type Block = {
	readonly name: string;
	readonly parent: string | undefined;
	readonly tokens: readonly number[];
};

export class PrefixCache {
	readonly #blocks: LRUCache<string, true>;
	readonly #events: Array<{readonly event: CacheEvent; readonly at: number}> =
		[];

	#lastNumber = -1;
	#now = 0;

	constructor(private readonly options: PrefixCacheOptions) {
		this.#blocks = new LRUCache({
			max: options.maxBlocks,
			dispose: (_, block, reason) => {
				if (reason === 'evict') {
					this.#publish({type: 'removed', block});
				}
			},
		});
	}

	/** Adds a prompt's blocks; gives how many of its first tokens were there. */
	add(inputs: readonly number[], now: number): number {
		this.#now = now;
		const blocks = splitBlocks(inputs);
		const firstMissing = blocks.findIndex(({name}) => !this.#blocks.has(name));
		for (const {name, parent, tokens} of blocks) {
			if (!this.#blocks.get(name)) {
				this.#blocks.set(name, true);
				this.#publish({type: 'stored', block: name, parent, tokens});
			}
		}

		const hits = firstMissing === -1 ? blocks.length : firstMissing;
		return hits * blockTokens;
	}

	/** Lists the events from a number on that have appeared by now. */
	listEvents(
		from: number,
		now: number,
	): {next: number; events: readonly CacheEvent[]} {
		const events = this.#events
			.filter(
				({event, at}) =>
					event.number >= from && at + this.options.eventLagMs <= now,
			)
			.map(({event}) => event);
		const last = events.at(-1);
		return {next: last ? last.number + 1 : from, events};
	}

	#publish(event: Omit<CacheEvent, 'number'>): void {
		this.#lastNumber++;
		const number = this.#lastNumber;
		const {loseEvery} = this.options;
		if (loseEvery > 0 && (number + 1) % loseEvery === 0) {
			return;
		}

		this.#events.push({event: {...event, number}, at: this.#now});
		if (this.#events.length > maxEvents) {
			this.#events.shift();
		}
	}
}

function splitBlocks(inputs: readonly number[]): Block[] {
	const blocks: Block[] = [];
	let parent: string | undefined;
	const count = Math.floor(inputs.length / blockTokens);
	for (let index = 0; index < count; index++) {
		const start = index * blockTokens;
		const tokens = inputs.slice(start, start + blockTokens);
		const name = h32(`${parent ?? ''}/${tokens.join(',')}`).toString(16);
		blocks.push({name, parent, tokens});
		parent = name;
	}

	return blocks;
}

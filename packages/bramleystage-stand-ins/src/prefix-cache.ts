/**
 * Prefix cache of the engine stand-in, which holds a bounded number of token
 * blocks. The name of a block is a digest chained over the blocks before it.
 * Cache events become visible after a lag, and some are lost.
 */
import {LRUCache} from 'lru-cache';
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Tokens of one block. */
export const blockTokens = 16;

export type PrefixCacheOptions = {
	/** Maximum number of blocks; the least recently used are evicted first. */
	readonly maxBlocks: number;
	/** Time from a change until its event is visible, in milliseconds. */
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
	/** Sequence number over all events, so that a lost event leaves a gap. */
	readonly number: number;
	readonly type: 'stored' | 'removed';
	readonly block: string;
	/** Name of the preceding block; absent for the first block of a prompt. */
	readonly parent?: string;
	readonly tokens?: readonly number[];
};

const maxRetainedEvents = 10_000;

type Block = {
	readonly name: string;
	readonly parent: string | undefined;
	readonly tokens: readonly number[];
};

export class PrefixCache {
	readonly #blocks: LRUCache<string, true>;
	readonly #events: Array<{readonly event: CacheEvent; readonly at: number}> =
		[];

	#lastEventNumber = -1;
	/** Time of the latest `add`, for the events of blocks that it evicts. */
	#now = 0;

	constructor(private readonly options: PrefixCacheOptions) {
		this.#blocks = new LRUCache({
			max: options.maxBlocks,
			dispose: (_, block, reason) => {
				if (reason === 'evict') {
					this.#recordEvent({type: 'removed', block});
				}
			},
		});
	}

	/** Adds a prompt's blocks; returns how many of its leading tokens were cached. */
	add(inputs: readonly number[], now: number): number {
		this.#now = now;
		const blocks = splitBlocks(inputs);
		const firstMissing = blocks.findIndex(({name}) => !this.#blocks.has(name));
		for (const {name, parent, tokens} of blocks) {
			if (!this.#blocks.get(name)) {
				this.#blocks.set(name, true);
				this.#recordEvent({type: 'stored', block: name, parent, tokens});
			}
		}

		const hitBlocks = firstMissing === -1 ? blocks.length : firstMissing;
		return hitBlocks * blockTokens;
	}

	/** Lists the visible events whose number is `from` or higher. */
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

	#recordEvent(event: Omit<CacheEvent, 'number'>): void {
		this.#lastEventNumber++;
		const number = this.#lastEventNumber;
		const {loseEvery} = this.options;
		if (loseEvery > 0 && (number + 1) % loseEvery === 0) {
			return;
		}

		this.#events.push({event: {...event, number}, at: this.#now});
		if (this.#events.length > maxRetainedEvents) {
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

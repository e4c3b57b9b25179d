/**
 * Hosts that lately stored a prefix block. A routing decision compares a few
 * drawn hosts, among which the holder of a prefix is seldom at a large site; the
 * index finds it without a search of all hosts. It is a hint: whether a host
 * still keeps the block is told by the host's own table.
 */
import type {HostId} from '../protocol/ids.js';
import type {PrefixBlocks} from './prefix-blocks.js';

/** Maximum number of blocks with a holder; about 2 MB. */
const maxIndexedBlocks = 16_384;
/** Most recent holders kept of a block. */
const maxHolders = 4;

export class HolderIndex {
	readonly #holders = new Map<number, readonly HostId[]>();

	/** Records that a host stored a block. */
	add(block: number, host: HostId): void {
		const known = this.#holders.get(block) ?? [];
		const others = known.filter((each) => each !== host);
		// Deleted first, so that the map keeps the order of the last change.
		this.#holders.delete(block);
		this.#holders.set(block, [host, ...others].slice(0, maxHolders));
		const [oldest] = this.#holders.keys();
		if (this.#holders.size > maxIndexedBlocks && oldest !== undefined) {
			this.#holders.delete(oldest);
		}
	}

	/** Lists the hosts that lately stored the longest known prefix. */
	list(blocks: PrefixBlocks): readonly HostId[] {
		const longest = blocks.findLast((block) => this.#holders.has(block));
		return longest === undefined ? [] : (this.#holders.get(longest) ?? []);
	}
}

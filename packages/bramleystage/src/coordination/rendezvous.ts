/**
 * Rendezvous hashing. All processes that know the same names rank them in the
 * same order for a key. A name that joins or leaves moves only the keys that it
 * gains or loses.
 */
import xxhash from 'xxhash-wasm';
import {selectByScore} from './rendezvous-order.js';

const {h32} = await xxhash();

/** Returns the `count` highest-ranked names for a key, best first. */
export function selectByRendezvous<Name extends string>(
	key: string,
	names: readonly Name[],
	count: number,
): Name[] {
	return selectByScore(key, names, count, h32);
}

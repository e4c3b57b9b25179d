/**
 * Rendezvous hashing: every process that knows the same names ranks them alike
 * for a key, and a name that joins or leaves moves only the keys that it wins
 * or held.
 */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Ranks names for a key, best first, and gives the first `count` of them. */
export function selectByRendezvous<Name extends string>(
	key: string,
	names: readonly Name[],
	count: number,
): Name[] {
	return names
		.map((name) => ({name, score: h32(`${key}\n${name}`)}))
		.toSorted((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
		.slice(0, count)
		.map(({name}) => name);
}

/** Random sources that are passed in as arguments; equal seeds produce equal numbers. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/** Creates a source of pseudo-random numbers from a seed. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

/** The order of rendezvous hashing, for any hash function. */

/** Returns the `count` highest-ranked names for a key, best first; `computeScore` hashes a text. */
export const selectByScore = <Name extends string>(
	key: string,
	names: readonly Name[],
	count: number,
	computeScore: (text: string) => number,
): Name[] =>
	names
		.map((name) => ({name, score: computeScore(`${key}\n${name}`)}))
		.toSorted((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
		.slice(0, count)
		.map(({name}) => name);

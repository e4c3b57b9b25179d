/** Splits a list by a key that is computed for each item. */

/** Items by key, in their order. */
export function splitBy<Item, Key>(
	items: Iterable<Item>,
	computeKey: (item: Item) => Key,
): Map<Key, Item[]> {
	const split = new Map<Key, Item[]>();
	for (const item of items) {
		const key = computeKey(item);
		const same = split.get(key);
		if (same) {
			same.push(item);
		} else {
			split.set(key, [item]);
		}
	}

	return split;
}

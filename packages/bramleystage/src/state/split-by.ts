/** Groups items by a computed key; each group keeps the order of its items. */
export function splitBy<Item, Key>(
	items: Iterable<Item>,
	computeKey: (item: Item) => Key,
): Map<Key, Item[]> {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = computeKey(item);
		const group = groups.get(key);
		if (group) {
			group.push(item);
		} else {
			groups.set(key, [item]);
		}
	}

	return groups;
}

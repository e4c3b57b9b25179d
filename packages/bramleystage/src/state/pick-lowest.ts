/** Picks the item with the lowest value; the first one of several. */
export function pickLowest<Item>(
	items: Iterable<Item>,
	computeValue: (item: Item) => number,
): Item | undefined {
	let lowest: Item | undefined;
	let lowestValue = Number.POSITIVE_INFINITY;
	for (const item of items) {
		const value = computeValue(item);
		if (lowest === undefined || value < lowestValue) {
			lowest = item;
			lowestValue = value;
		}
	}

	return lowest;
}

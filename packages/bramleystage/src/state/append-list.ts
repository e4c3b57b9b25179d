/**
 * An immutable list that grows at its end. Appending shares the earlier items
 * with the list before, so that a long answer costs the same for each token.
 */

type Cell<Item> = {
	readonly item: Item;
	readonly before: Cell<Item> | undefined;
};

export type AppendList<Item> = {
	readonly length: number;
	readonly last: Cell<Item> | undefined;
};

export const createAppendList = <Item>(): AppendList<Item> => ({
	length: 0,
	last: undefined,
});

/** Gives the list with one more item. */
export function appendItem<Item>(
	list: AppendList<Item>,
	item: Item,
): AppendList<Item> {
	return {length: list.length + 1, last: {item, before: list.last}};
}

/** Lists the items, the earliest first. Takes time in proportion to their count. */
export function listItems<Item>(list: AppendList<Item>): Item[] {
	const items = Array.from<Item>({length: list.length});
	let cell = list.last;
	for (let index = list.length - 1; cell; index--) {
		items[index] = cell.item;
		cell = cell.before;
	}

	return items;
}

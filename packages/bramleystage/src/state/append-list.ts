/**
 * An immutable append-only list. A new version shares its earlier items with
 * the previous one, so appending a token costs the same however long the
 * answer is.
 */

type Cell<Item> = {
	readonly item: Item;
	readonly previous: Cell<Item> | undefined;
};

export type AppendList<Item> = {
	readonly length: number;
	readonly last: Cell<Item> | undefined;
};

export const createAppendList = <Item>(): AppendList<Item> => ({
	length: 0,
	last: undefined,
});

/** Returns the list with one more item at its end. */
export function appendItem<Item>(
	list: AppendList<Item>,
	item: Item,
): AppendList<Item> {
	return {length: list.length + 1, last: {item, previous: list.last}};
}

/** Lists the items from first to last, in time linear in the length. */
export function listItems<Item>(list: AppendList<Item>): Item[] {
	const items = Array.from<Item>({length: list.length});
	let cell = list.last;
	for (let index = list.length - 1; cell; index--) {
		items[index] = cell.item;
		cell = cell.previous;
	}

	return items;
}

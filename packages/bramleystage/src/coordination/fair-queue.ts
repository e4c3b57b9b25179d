/**
 * Hierarchical weighted fair queue. Each item names its path in a tree of
 * weighted shares, such as customer, then model. At each level, the child that
 * has received the least work relative to its weight is served next (start-time
 * fair queueing). Work is measured by cost, so many small items count as much as
 * a few large ones.
 *
 * A priority lets work borrow a bounded amount of virtual time (borrowed virtual
 * time scheduling): it is served earlier, but in the long run each child still
 * gets its weighted share, so nothing starves.
 */

/** One level of the path in the tree: the child's key and its weight among its siblings. */
export type WeightedShare = {readonly key: string; readonly weight: number};

/** A queued item. */
export type WorkItem<Value> = {
	/** Path in the tree, from the root to the leaf. */
	readonly sharePath: readonly WeightedShare[];
	/** Layer-tokens for engines, 1 for a call. */
	readonly cost: number;
	/** A higher priority is served earlier, within the bound that `priorityCost` sets. */
	readonly priority: number;
	readonly value: Value;
};

type QueueNode<Value> = {
	readonly children: Map<string, QueueNode<Value>>;
	/** Items of a leaf, the next one first. */
	readonly items: Array<WorkItem<Value>>;
	weight: number;
	/** Virtual start time: cost served so far divided by the weight. */
	startTag: number;
	/** Largest start tag of a child that was served. */
	virtualTime: number;
	/** Items in the subtree. */
	size: number;
};

const createQueueNode = <Value>(): QueueNode<Value> => ({
	children: new Map(),
	items: [],
	weight: 1,
	startTag: 0,
	virtualTime: 0,
	size: 0,
});

/** A node with at least this many children drops its idle ones before it adds another. */
const maxIdleChildren = 1024;
const minWeight = 1e-6;

export class FairQueue<Value> {
	readonly #root = createQueueNode<Value>();
	#cost = 0;

	/** `priorityCost` is the cost that one step of priority may borrow. */
	constructor(private readonly priorityCost: number) {}

	get size(): number {
		return this.#root.size;
	}

	/** Sum of the costs of the queued work. */
	get cost(): number {
		return this.#cost;
	}

	add(work: WorkItem<Value>): void {
		let node = this.#root;
		node.size++;
		for (const share of work.sharePath) {
			node = openChild(node, share);
			node.size++;
		}

		placeWorkByPriority(node.items, work);
		this.#cost += work.cost;
	}

	/** Removes and returns the next item. */
	take(): WorkItem<Value> | undefined {
		if (this.#root.size === 0) {
			return undefined;
		}

		const path: Array<QueueNode<Value>> = [];
		let node = this.#root;
		while (node.children.size > 0) {
			node = this.#chooseChild(node);
			path.push(node);
		}

		const work = node.items.shift();
		if (work) {
			this.#charge(path, work.cost);
		}

		return work;
	}

	/** Removes matching work without charging for it. Returns the number of items. */
	remove(matches: (value: Value) => boolean): number {
		const removed = removeFrom(this.#root, matches);
		this.#cost -= removed.reduce((sum, {cost}) => sum + cost, 0);
		return removed.length;
	}

	#chooseChild(node: QueueNode<Value>): QueueNode<Value> {
		let chosen: QueueNode<Value> | undefined;
		let lowest = Infinity;
		for (const child of node.children.values()) {
			if (child.size === 0) {
				continue;
			}

			const borrowed =
				(findHighestPriority(child) * this.priorityCost) / child.weight;
			if (child.startTag - borrowed < lowest) {
				lowest = child.startTag - borrowed;
				chosen = child;
			}
		}

		return chosen ?? node;
	}

	#charge(path: ReadonlyArray<QueueNode<Value>>, cost: number): void {
		this.#root.size--;
		this.#cost -= cost;
		let parent = this.#root;
		for (const node of path) {
			node.size--;
			parent.virtualTime = Math.max(parent.virtualTime, node.startTag);
			node.startTag += cost / node.weight;
			parent = node;
		}
	}
}

function openChild<Value>(
	parent: QueueNode<Value>,
	{key, weight}: WeightedShare,
): QueueNode<Value> {
	let child = parent.children.get(key);
	if (!child) {
		removeIdleChildren(parent);
		child = createQueueNode<Value>();
		parent.children.set(key, child);
	}

	child.weight = Math.max(weight, minWeight);
	if (child.size === 0) {
		// A child gains no credit for the time that it was idle.
		child.startTag = Math.max(child.startTag, parent.virtualTime);
	}

	return child;
}

function removeIdleChildren<Value>(node: QueueNode<Value>): void {
	if (node.children.size < maxIdleChildren) {
		return;
	}

	for (const [key, child] of node.children) {
		if (child.size === 0 && child.startTag <= node.virtualTime) {
			node.children.delete(key);
		}
	}
}

/** Inserts work by priority; equal priorities stay in the order of arrival. */
function placeWorkByPriority<Value>(
	items: Array<WorkItem<Value>>,
	work: WorkItem<Value>,
): void {
	let index = items.length;
	while (index > 0 && (items[index - 1]?.priority ?? 0) < work.priority) {
		index--;
	}

	items.splice(index, 0, work);
}

/** Returns the highest priority of the next items below a node. */
function findHighestPriority<Value>(node: QueueNode<Value>): number {
	if (node.children.size === 0) {
		return node.items[0]?.priority ?? 0;
	}

	let highest = 0;
	for (const child of node.children.values()) {
		if (child.size > 0) {
			highest = Math.max(highest, findHighestPriority(child));
		}
	}

	return highest;
}

function removeFrom<Value>(
	node: QueueNode<Value>,
	matches: (value: Value) => boolean,
): Array<WorkItem<Value>> {
	const removed: Array<WorkItem<Value>> = [];
	for (let index = node.items.length - 1; index >= 0; index--) {
		const item = node.items[index];
		if (item && matches(item.value)) {
			node.items.splice(index, 1);
			removed.push(item);
		}
	}

	for (const child of node.children.values()) {
		removed.push(...removeFrom(child, matches));
	}

	node.size -= removed.length;
	return removed;
}

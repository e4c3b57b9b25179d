/**
 * A queue that is fair by weight. Work names its place in a tree of shares,
 * such as customer, then model; at each level the child that has been given
 * the least work for its weight goes next (start-time fair queueing). Work is
 * measured by cost, so many small items and few large ones count alike.
 *
 * A priority lets work borrow a bounded amount of virtual time (borrowed
 * virtual time scheduling): it goes ahead of others for a short while, and the
 * shares over a longer time stay as the weights say, so nothing starves.
 */

/** One level of the tree: who shares, and by what weight. */
export type Share = {readonly key: string; readonly weight: number};

export type Work<Value> = {
	readonly shares: readonly Share[];
	/** Layer-tokens for engines, 1 for a call. */
	readonly cost: number;
	/** A higher priority goes ahead, within the bound that `priorityCost` sets. */
	readonly priority: number;
	readonly value: Value;
};

type Node<Value> = {
	readonly children: Map<string, Node<Value>>;
	/** Work of a leaf, the next one first. */
	readonly items: Array<Work<Value>>;
	weight: number;
	/** Work given so far, divided by weight. */
	tag: number;
	/** Start tag of the child that was served last. */
	virtualTime: number;
	size: number;
};

const createNode = <Value>(): Node<Value> => ({
	children: new Map(),
	items: [],
	weight: 1,
	tag: 0,
	virtualTime: 0,
	size: 0,
});

/** Idle children are forgotten when a node has more children than this. */
const maxIdleChildren = 1024;
const minWeight = 1e-6;

export class FairQueue<Value> {
	readonly #root = createNode<Value>();
	#cost = 0;

	/** `priorityCost` is the work that one step of priority may borrow. */
	constructor(private readonly priorityCost: number) {}

	get size(): number {
		return this.#root.size;
	}

	/** Sum of the costs of the work that waits. */
	get cost(): number {
		return this.#cost;
	}

	add(work: Work<Value>): void {
		let node = this.#root;
		node.size++;
		for (const share of work.shares) {
			node = openChild(node, share);
			node.size++;
		}

		placeByPriority(node.items, work);
		this.#cost += work.cost;
	}

	/** Takes the work whose turn it is. */
	take(): Work<Value> | undefined {
		if (this.#root.size === 0) {
			return undefined;
		}

		const path: Array<Node<Value>> = [];
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

	/** Removes work that is no longer wanted; it is not charged. */
	remove(matches: (value: Value) => boolean): number {
		const removed = removeFrom(this.#root, matches);
		this.#cost -= removed.reduce((sum, {cost}) => sum + cost, 0);
		return removed.length;
	}

	#chooseChild(node: Node<Value>): Node<Value> {
		let chosen: Node<Value> | undefined;
		let least = Infinity;
		for (const child of node.children.values()) {
			if (child.size === 0) {
				continue;
			}

			const borrowed = (findPriority(child) * this.priorityCost) / child.weight;
			if (child.tag - borrowed < least) {
				least = child.tag - borrowed;
				chosen = child;
			}
		}

		return chosen ?? node;
	}

	#charge(path: ReadonlyArray<Node<Value>>, cost: number): void {
		this.#root.size--;
		this.#cost -= cost;
		let parent = this.#root;
		for (const node of path) {
			node.size--;
			parent.virtualTime = Math.max(parent.virtualTime, node.tag);
			node.tag += cost / node.weight;
			parent = node;
		}
	}
}

function openChild<Value>(
	parent: Node<Value>,
	{key, weight}: Share,
): Node<Value> {
	let child = parent.children.get(key);
	if (!child) {
		removeIdleChildren(parent);
		child = createNode<Value>();
		parent.children.set(key, child);
	}

	child.weight = Math.max(weight, minWeight);
	if (child.size === 0) {
		// Time that a child spent idle earns it nothing.
		child.tag = Math.max(child.tag, parent.virtualTime);
	}

	return child;
}

function removeIdleChildren<Value>(node: Node<Value>): void {
	if (node.children.size < maxIdleChildren) {
		return;
	}

	for (const [key, child] of node.children) {
		if (child.size === 0 && child.tag <= node.virtualTime) {
			node.children.delete(key);
		}
	}
}

/** Keeps the order of arrival among equal priorities. */
function placeByPriority<Value>(
	items: Array<Work<Value>>,
	work: Work<Value>,
): void {
	let index = items.length;
	while (index > 0 && (items[index - 1]?.priority ?? 0) < work.priority) {
		index--;
	}

	items.splice(index, 0, work);
}

function findPriority<Value>(node: Node<Value>): number {
	if (node.children.size === 0) {
		return node.items[0]?.priority ?? 0;
	}

	let highest = 0;
	for (const child of node.children.values()) {
		if (child.size > 0) {
			highest = Math.max(highest, findPriority(child));
		}
	}

	return highest;
}

function removeFrom<Value>(
	node: Node<Value>,
	matches: (value: Value) => boolean,
): Array<Work<Value>> {
	const removed: Array<Work<Value>> = [];
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

/**
 * An immutable map for large snapshots with small changes. Keys are hashed into
 * a fixed number of buckets, and a change copies only the buckets that it
 * touches instead of the complete map. Iteration goes bucket by bucket, not in
 * insertion order.
 */
const bucketCount = 512;

/** One change: the value to set, or undefined to remove the key. */
export type BucketChange<Key, Value> = readonly [
	key: Key,
	value: Value | undefined,
];

type Buckets<Key, Value> = ReadonlyArray<ReadonlyMap<Key, Value> | undefined>;

export class BucketMap<Key extends string, Value> implements ReadonlyMap<
	Key,
	Value
> {
	static create<Key extends string, Value>(): BucketMap<Key, Value> {
		return new BucketMap<Key, Value>(
			Array.from({length: bucketCount}, () => undefined),
			0,
		);
	}

	readonly #buckets: Buckets<Key, Value>;

	private constructor(
		buckets: Buckets<Key, Value>,
		readonly size: number,
	) {
		this.#buckets = buckets;
	}

	get [Symbol.toStringTag](): string {
		return 'BucketMap';
	}

	get(key: Key): Value | undefined {
		return this.#buckets[computeBucket(key)]?.get(key);
	}

	has(key: Key): boolean {
		return this.#buckets[computeBucket(key)]?.has(key) ?? false;
	}

	/** Returns a map with the changes applied in order; this map is not modified. */
	apply(changes: Iterable<BucketChange<Key, Value>>): BucketMap<Key, Value> {
		const buckets = [...this.#buckets];
		const copies = new Map<number, Map<Key, Value>>();
		let {size} = this;
		for (const [key, value] of changes) {
			const index = computeBucket(key);
			const copy = copies.get(index) ?? new Map(buckets[index]);
			copies.set(index, copy);
			buckets[index] = copy;
			size -= copy.size;
			if (value === undefined) {
				copy.delete(key);
			} else {
				copy.set(key, value);
			}

			size += copy.size;
		}

		return copies.size === 0 ? this : new BucketMap(buckets, size);
	}

	*entries(): Generator<[Key, Value], undefined> {
		for (const bucket of this.#buckets) {
			if (bucket) {
				yield* bucket.entries();
			}
		}
	}

	*keys(): Generator<Key, undefined> {
		for (const [key] of this.entries()) {
			yield key;
		}
	}

	*values(): Generator<Value, undefined> {
		for (const [, value] of this.entries()) {
			yield value;
		}
	}

	[Symbol.iterator](): Generator<[Key, Value], undefined> {
		return this.entries();
	}

	forEach(
		callback: (value: Value, key: Key, map: ReadonlyMap<Key, Value>) => void,
	): void {
		for (const [key, value] of this.entries()) {
			callback(value, key, this);
		}
	}
}

/** FNV-1a hash of the key's UTF-16 code units. */
function computeBucket(key: string): number {
	let hash = 0x81_1c_9d_c5;
	for (let index = 0; index < key.length; index++) {
		/* eslint-disable no-bitwise, unicorn/prefer-code-point -- hashes code units */
		hash ^= key.charCodeAt(index);
		hash = Math.imul(hash, 0x01_00_01_93) >>> 0;
		/* eslint-enable no-bitwise, unicorn/prefer-code-point */
	}

	return hash % bucketCount;
}

/** Value whose changes become visible to readers after a fixed lag. */

type Change<T> = {readonly at: number; readonly value: T};

export class LaggingValue<T> {
	#changes: Array<Change<T>>;

	/** `lagMs` is the lag in milliseconds. */
	constructor(
		initial: T,
		private readonly lagMs: number,
	) {
		this.#changes = [{at: Number.NEGATIVE_INFINITY, value: initial}];
	}

	/** Sets the value at time `now`. */
	update(value: T, now: number): void {
		this.#changes.push({at: now, value});
		this.#dropOutdated(now);
	}

	/** Returns the value that was current `lagMs` before `now`, and when it was set. */
	read(now: number): Change<T> {
		this.#dropOutdated(now);
		return this.#changes[0]!;
	}

	#dropOutdated(now: number): void {
		const visible = this.#changes.findLastIndex(
			({at}) => at + this.lagMs <= now,
		);
		this.#changes = this.#changes.slice(Math.max(0, visible));
	}
}

/** A value that is read as it was some time ago. */

type Change<T> = {readonly at: number; readonly value: T};

export class LaggingValue<T> {
	#changes: Array<Change<T>>;

	/** The lag is in milliseconds. */
	constructor(
		first: T,
		private readonly lagMs: number,
	) {
		this.#changes = [{at: Number.NEGATIVE_INFINITY, value: first}];
	}

	/** Sets the value as of now. */
	update(value: T, now: number): void {
		this.#changes.push({at: now, value});
		this.#forget(now);
	}

	/** Gives the value as it was the lag before now, and when it was set. */
	read(now: number): Change<T> {
		this.#forget(now);
		return this.#changes[0]!;
	}

	#forget(now: number): void {
		const visible = this.#changes.findLastIndex(
			({at}) => at + this.lagMs <= now,
		);
		this.#changes = this.#changes.slice(Math.max(0, visible));
	}
}

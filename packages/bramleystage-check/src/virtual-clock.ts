/** Virtual time: what is scheduled runs in the order of its time. */

type Entry = {
	readonly at: number;
	readonly order: number;
	readonly act: () => void;
};

export class VirtualClock {
	now = 0;
	#order = 0;
	readonly #entries: Entry[] = [];

	/** Runs an action after a delay in milliseconds. */
	schedule(delayMs: number, act: () => void): void {
		this.#order++;
		const entry = {
			at: this.now + Math.max(0, delayMs),
			order: this.#order,
			act,
		};
		const index = this.#entries.findLastIndex((each) => each.at <= entry.at);
		this.#entries.splice(index + 1, 0, entry);
	}

	/** Runs until nothing is left to do, or until a time. */
	run(until: number): void {
		for (;;) {
			const entry = this.#entries.shift();
			if (!entry || entry.at > until) {
				return;
			}

			this.now = entry.at;
			entry.act();
		}
	}
}

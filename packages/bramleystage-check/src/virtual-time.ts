/** A clock that moves only from one scheduled act to the next. */

type Act = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

export class VirtualTime {
	#acts: Act[] = [];
	#now = 0;
	#order = 0;

	/** Present time, in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/** Runs an act after a delay in milliseconds; gives a way to drop it. */
	schedule(delayMs: number, run: () => void): () => void {
		this.#order++;
		const act: Act = {at: this.#now + delayMs, order: this.#order, run};
		const later = this.#acts.findIndex(({at}) => at > act.at);
		this.#acts.splice(later === -1 ? this.#acts.length : later, 0, act);
		return () => {
			this.#acts = this.#acts.filter((each) => each !== act);
		};
	}

	/** Runs acts up to a time. */
	run(until: number): void {
		let [first] = this.#acts;
		while (first && first.at <= until) {
			this.#acts.shift();
			this.#now = first.at;
			first.run();
			[first] = this.#acts;
		}
	}
}

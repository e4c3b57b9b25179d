/**
 * A simulated clock and scheduler; time advances only from one scheduled task
 * to the next.
 */

type Task = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

export class VirtualTime {
	#tasks: Task[] = [];
	#now = 0;
	#order = 0;

	/** Current time, in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/**
	 * Schedules a task after a delay in milliseconds; returns a function that
	 * cancels it.
	 */
	schedule(delayMs: number, run: () => void): () => void {
		this.#order++;
		const task: Task = {at: this.#now + delayMs, order: this.#order, run};
		const insertAt = this.#tasks.findIndex(({at}) => at > task.at);
		this.#tasks.splice(
			insertAt === -1 ? this.#tasks.length : insertAt,
			0,
			task,
		);
		return () => {
			this.#tasks = this.#tasks.filter((each) => each !== task);
		};
	}

	/** Runs the tasks due up to and including a time in milliseconds. */
	run(until: number): void {
		let [first] = this.#tasks;
		while (first && first.at <= until) {
			this.#tasks.shift();
			this.#now = first.at;
			first.run();
			[first] = this.#tasks;
		}
	}
}

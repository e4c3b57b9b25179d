/**
 * A simulated clock and scheduler; time advances only from one scheduled task
 * to the next.
 */

type Task = {
	readonly at: number;
	readonly order: number;
	/** Undefined once the task is cancelled. */
	run: (() => void) | undefined;
};

const isBefore = (a: Task, b: Task) =>
	a.at < b.at || (a.at === b.at && a.order < b.order);

export class VirtualTime {
	/** Binary heap; the first task is due next. */
	readonly #tasks: Task[] = [];
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
		this.#add(task);
		return () => {
			task.run = undefined;
		};
	}

	/** Runs the tasks due up to and including a time in milliseconds. */
	run(until: number): void {
		while (this.runNext(until)) {
			// The next task runs.
		}
	}

	/** Runs the next task that is due up to and including a time in milliseconds; returns whether there was one. */
	runNext(until: number): boolean {
		for (;;) {
			const first = this.#tasks[0];
			if (!first || first.at > until) {
				return false;
			}

			this.#removeFirst();
			if (first.run) {
				this.#now = first.at;
				first.run();
				return true;
			}
		}
	}

	#add(task: Task): void {
		const tasks = this.#tasks;
		let index = tasks.push(task) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(task, tasks[parent]!)) {
				break;
			}

			tasks[index] = tasks[parent]!;
			index = parent;
		}

		tasks[index] = task;
	}

	#removeFirst(): void {
		const tasks = this.#tasks;
		const last = tasks.pop();
		if (!last || tasks.length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			const left = 2 * index + 1;
			const right = left + 1;
			const child =
				right < tasks.length && isBefore(tasks[right]!, tasks[left]!)
					? right
					: left;
			if (child >= tasks.length || !isBefore(tasks[child]!, last)) {
				break;
			}

			tasks[index] = tasks[child]!;
			index = child;
		}

		tasks[index] = last;
	}
}

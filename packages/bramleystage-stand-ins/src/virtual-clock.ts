/** A virtual clock for simulations: scheduled callbacks run in time order, without waiting. */

type Event = {
	readonly at: number;
	/** Order of scheduling; decides between events of the same time. */
	readonly sequence: number;
	/** Undefined once the event is cancelled. */
	callback: (() => void) | undefined;
};

export class VirtualClock {
	#now = 0;
	#sequence = 0;
	readonly #heap: Event[] = [];

	/** Current virtual time, in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/**
	 * Schedules a callback after a delay in milliseconds; negative delays count as 0.
	 * Returns a function that cancels it.
	 */
	schedule(delayMs: number, callback: () => void): () => void {
		this.#sequence++;
		const event: Event = {
			at: this.#now + Math.max(0, delayMs),
			sequence: this.#sequence,
			callback,
		};
		this.#push(event);
		return () => {
			event.callback = undefined;
		};
	}

	/** Runs all callbacks scheduled up to and including a time, in milliseconds, and advances the clock to it. */
	runUntil(until: number): void {
		while (this.runNext(until)) {
			// The next callback runs.
		}

		this.#now = until;
	}

	/** Runs the next callback scheduled up to and including a time, in milliseconds; returns whether there was one. */
	runNext(until: number): boolean {
		while (this.#heap[0] && this.#heap[0].at <= until) {
			const event = this.#pop();
			if (event.callback) {
				this.#now = event.at;
				event.callback();
				return true;
			}
		}

		return false;
	}

	#push(event: Event): void {
		const heap = this.#heap;
		let index = heap.push(event) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(event, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = event;
	}

	#pop(): Event {
		const heap = this.#heap;
		const first = heap[0]!;
		const last = heap.pop()!;
		if (heap.length > 0) {
			this.#siftDown(last);
		}

		return first;
	}

	#siftDown(event: Event): void {
		const heap = this.#heap;
		let index = 0;
		for (;;) {
			let child = index * 2 + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child++;
			}

			if (!isBefore(heap[child]!, event)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = event;
	}
}

const isBefore = (a: Event, b: Event) =>
	a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

/** A virtual clock: events run in the order of their times, none of them waits. */

type Event = {
	readonly at: number;
	readonly order: number;
	readonly act: () => void;
};

export class VirtualTime {
	#now = 0;
	#order = 0;
	readonly #heap: Event[] = [];

	/** Present virtual time, in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/** Runs a function after a delay in milliseconds. */
	schedule(delayMs: number, act: () => void): void {
		this.#order++;
		this.#push({at: this.#now + Math.max(0, delayMs), order: this.#order, act});
	}

	/** Runs all events up to a time, in milliseconds. */
	run(until: number): void {
		while (this.#heap[0] && this.#heap[0].at <= until) {
			const event = this.#pop();
			this.#now = event.at;
			event.act();
		}

		this.#now = until;
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
			this.#sink(last);
		}

		return first;
	}

	#sink(event: Event): void {
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
	a.at < b.at || (a.at === b.at && a.order < b.order);

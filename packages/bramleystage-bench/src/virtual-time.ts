/** Virtual time: events in order of their time, then of their making. */

type TimedEvent = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

export class VirtualTime {
	#now = 0;
	#order = 0;
	readonly #heap: TimedEvent[] = [];

	/** Present time in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/** Runs something after a delay in milliseconds. */
	add(delayMs: number, run: () => void): void {
		const at = this.#now + Math.max(0, delayMs);
		const heap = this.#heap;
		const event = {at, order: this.#order++, run};
		let index = heap.length;
		heap.push(event);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (compareEvents(heap[parent]!, event) <= 0) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = event;
	}

	/** Runs all events up to a time in milliseconds. */
	runUntil(until: number): void {
		while ((this.#heap[0]?.at ?? Infinity) <= until) {
			const event = this.#take();
			this.#now = event.at;
			event.run();
		}

		this.#now = until;
	}

	#take(): TimedEvent {
		const heap = this.#heap;
		const first = heap[0]!;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return first;
		}

		let index = 0;
		for (;;) {
			let child = 2 * index + 1;
			if (child >= heap.length) {
				break;
			}

			const right = child + 1;
			if (
				right < heap.length &&
				compareEvents(heap[right]!, heap[child]!) < 0
			) {
				child = right;
			}

			if (compareEvents(last, heap[child]!) <= 0) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = last;
		return first;
	}
}

const compareEvents = (a: TimedEvent, b: TimedEvent) =>
	a.at - b.at || a.order - b.order;

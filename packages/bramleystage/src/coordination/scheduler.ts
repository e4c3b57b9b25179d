/**
 * Work scheduler of an agent. It queues the work for the backend server, limits
 * how much of it runs at once, and computes the load that heartbeats report. It
 * reads no clock; methods that need the current time take it as a parameter.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {LoadReport} from '../protocol/messages.js';
import {FairQueue, type WorkItem} from './fair-queue.js';
import {RateMeter} from './rate-meter.js';

export type SchedulerOptions = {
	/** Maximum number of items that run on the backend server at once. */
	readonly slots: number;
	/** Maximum number of items that may wait. */
	readonly maxQueued: number;
	/** Cost at which no further item is started. An item always starts if none is running. */
	readonly findMaxRunningCost: () => number;
	/** Cost that one step of priority may borrow. */
	readonly priorityCost: number;
};

/** Work that runs on the backend server, and when it was started. */
export type RunningWork<Value> = {
	readonly work: WorkItem<Value>;
	readonly startedAt: Milliseconds;
};

export class WorkScheduler<Value> {
	readonly #queue: FairQueue<Value>;
	readonly #meter = new RateMeter();
	/** Expected cost of open stages that has not been queued yet, by key. */
	readonly #reserved = new Map<string, number>();
	#reservedCost = 0;
	#running = 0;
	#runningCost = 0;

	constructor(private readonly options: SchedulerOptions) {
		this.#queue = new FairQueue(options.priorityCost);
	}

	get queued(): number {
		return this.#queue.size;
	}

	get running(): number {
		return this.#running;
	}

	get isFull(): boolean {
		return this.#queue.size >= this.options.maxQueued;
	}

	/** Number of further items that may wait. */
	get room(): number {
		return Math.max(0, this.options.maxQueued - this.#queue.size);
	}

	/** Reserves the cost of work that `key` is expected to add in parts. */
	reserve(key: string, cost: number): void {
		this.release(key);
		this.#reserved.set(key, cost);
		this.#reservedCost += cost;
	}

	/** Releases what is left of a reservation. */
	release(key: string): void {
		this.#reservedCost -= this.#reserved.get(key) ?? 0;
		this.#reserved.delete(key);
	}

	/** Queues work; its cost is deducted from the reservation of `key`. */
	add(work: WorkItem<Value>, key?: string): void {
		this.#queue.add(work);
		const reserved = key === undefined ? undefined : this.#reserved.get(key);
		if (key !== undefined && reserved !== undefined) {
			const remaining = Math.max(0, reserved - work.cost);
			this.#reserved.set(key, remaining);
			this.#reservedCost += remaining - reserved;
		}
	}

	/** Starts the next work if the backend server has capacity; undefined if it hasn't or none waits. */
	startNext(now: Milliseconds): RunningWork<Value> | undefined {
		const {slots, findMaxRunningCost} = this.options;
		const hasCapacity =
			this.#running === 0 ||
			(this.#running < slots && this.#runningCost < findMaxRunningCost());
		const work = hasCapacity ? this.#queue.take() : undefined;
		if (!work) {
			return undefined;
		}

		if (this.#running === 0) {
			this.#meter.start(now);
		}

		this.#running++;
		this.#runningCost += work.cost;
		return {work, startedAt: now};
	}

	/** Records that the backend server has finished an item. */
	finish({work, startedAt}: RunningWork<Value>, now: Milliseconds): void {
		this.#running--;
		this.#runningCost -= work.cost;
		this.#meter.finish(work.cost, now - startedAt, now);
		if (this.#queue.size === 0) {
			this.#meter.cancelSample();
		}
	}

	/** Removes matching work that is still queued. */
	remove(matches: (value: Value) => boolean): void {
		this.#queue.remove(matches);
	}

	/** Returns the load in units of cost. */
	describeLoad(now: Milliseconds): LoadReport {
		return {
			queued: this.#queue.cost + this.#reservedCost,
			running: this.#runningCost,
			...this.#meter.describe(now),
		};
	}
}

/**
 * The order of work at an agent: what waits for the backend server, how much
 * of it may be there at once, and the load that heartbeats report. It reads no
 * clock; each method that needs the present time takes it.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {LoadReport} from '../protocol/messages.js';
import {FairQueue, type Work} from './fair-queue.js';
import {RateMeter} from './rate-meter.js';

export type SchedulerOptions = {
	/** Items that the backend server is given at once. */
	readonly slots: number;
	/** Items that may wait. */
	readonly maxQueued: number;
	/** Cost that the backend server is given at once; one item always passes. */
	readonly findMaxRunningCost: () => number;
	/** Cost that one step of priority may borrow. */
	readonly priorityCost: number;
};

/** Work that the backend server has, and when it was given. */
export type RunningWork<Value> = {
	readonly work: Work<Value>;
	readonly startedAt: Milliseconds;
};

export class WorkScheduler<Value> {
	readonly #queue: FairQueue<Value>;
	readonly #meter = new RateMeter();
	/** Expected work of open stages that has not come to the queue yet. */
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

	/** Announces work that `key` is expected to bring in parts. */
	reserve(key: string, cost: number): void {
		this.release(key);
		this.#reserved.set(key, cost);
		this.#reservedCost += cost;
	}

	/** Drops what is left of an announcement. */
	release(key: string): void {
		this.#reservedCost -= this.#reserved.get(key) ?? 0;
		this.#reserved.delete(key);
	}

	/** Adds work; it uses up the announcement of `key`. */
	add(work: Work<Value>, key?: string): void {
		this.#queue.add(work);
		const reserved = key === undefined ? undefined : this.#reserved.get(key);
		if (key !== undefined && reserved !== undefined) {
			const left = Math.max(0, reserved - work.cost);
			this.#reserved.set(key, left);
			this.#reservedCost += left - reserved;
		}
	}

	/** Takes the next work if the backend server has room for it. */
	take(now: Milliseconds): RunningWork<Value> | undefined {
		const {slots, findMaxRunningCost} = this.options;
		const hasRoom =
			this.#running === 0 ||
			(this.#running < slots && this.#runningCost < findMaxRunningCost());
		const work = hasRoom ? this.#queue.take() : undefined;
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

	/** Removes waiting work that is no longer wanted. */
	remove(matches: (value: Value) => boolean): void {
		this.#queue.remove(matches);
	}

	/** Load in units of cost. */
	describeLoad(now: Milliseconds): LoadReport {
		return {
			queued: this.#queue.cost + this.#reservedCost,
			running: this.#runningCost,
			...this.#meter.describe(now),
		};
	}
}

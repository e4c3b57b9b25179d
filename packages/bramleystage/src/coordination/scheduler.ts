/**
 * The order of work at an agent: what waits for the backend server, how much
 * of it may be there at once, and the load that heartbeats report. It reads no
 * clock; each method that needs the present time takes it.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {LoadReport} from '../protocol/messages.js';
import {FairQueue, type Work} from './fair-queue.js';

export type SchedulerOptions = {
	/** Items that the backend server is given at once. */
	readonly slots: number;
	/** Items that may wait. */
	readonly maxQueued: number;
	/** Cost that the backend server is given at once; one item always passes. */
	readonly maxRunningCost: number;
	/** Cost that one step of priority may borrow. */
	readonly priorityCost: number;
};

/** Weight of the newest sample in the smoothed rate. */
const rateSmoothing = 0.3;
/** Busy time of one sample of the rate, in milliseconds. */
const rateSampleMs = 50;
/** A rate that was not measured for this long is reported as unknown. */
const rateMemoryMs = 5000;

export class WorkScheduler<Value> {
	readonly #queue: FairQueue<Value>;
	#running = 0;
	#runningCost = 0;
	#busySince: Milliseconds = 0;
	#sampleCost = 0;
	#sampleMs = 0;
	#rate = 0;
	#ratedAt: Milliseconds = -Infinity;

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

	add(work: Work<Value>): void {
		this.#queue.add(work);
	}

	/** Takes the next work if the backend server has room for it. */
	take(now: Milliseconds): Work<Value> | undefined {
		const {slots, maxRunningCost} = this.options;
		const hasRoom =
			this.#running === 0 ||
			(this.#running < slots && this.#runningCost < maxRunningCost);
		const work = hasRoom ? this.#queue.take() : undefined;
		if (!work) {
			return undefined;
		}

		if (this.#running === 0) {
			this.#busySince = now;
		}

		this.#running++;
		this.#runningCost += work.cost;
		return work;
	}

	/** Records that the backend server has finished an item. */
	finish(cost: number, now: Milliseconds): void {
		this.#running--;
		this.#runningCost -= cost;
		this.#sampleCost += cost;
		const busyMs = this.#sampleMs + now - this.#busySince;
		if (busyMs >= rateSampleMs) {
			this.#updateRate((this.#sampleCost * 1000) / busyMs, now);
		} else if (this.#running === 0) {
			this.#sampleMs = busyMs;
		}
	}

	/** Removes waiting work that is no longer wanted. */
	remove(matches: (value: Value) => boolean): void {
		this.#queue.remove(matches);
	}

	/** Expected wait of new work in milliseconds, by the measured rate. */
	estimateWait(now: Milliseconds): Milliseconds {
		const {queued, running, rate} = this.describeLoad(now);
		return rate > 0 ? ((queued + running) * 1000) / rate : 0;
	}

	/** Load in units of cost; a rate of 0 is unknown. */
	describeLoad(now: Milliseconds): LoadReport {
		return {
			queued: this.#queue.cost,
			running: this.#runningCost,
			rate: now - this.#ratedAt < rateMemoryMs ? this.#rate : 0,
		};
	}

	#updateRate(sample: number, now: Milliseconds): void {
		const isKnown = now - this.#ratedAt < rateMemoryMs;
		this.#rate = isKnown
			? this.#rate + rateSmoothing * (sample - this.#rate)
			: sample;
		this.#ratedAt = now;
		this.#busySince = now;
		this.#sampleCost = 0;
		this.#sampleMs = 0;
	}
}

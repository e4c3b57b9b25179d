/**
 * Overload control for the calls that a process has read and not begun: in which order
 * they begin, and which are refused because they can't begin while their answer is still
 * useful. Calls wait fairly by customer, urgent ones a bounded time ahead of others. The
 * wait of a call is predicted from the pace at which calls began lately. In a short shortage
 * calls wait as long as their callers do; in a lasting overload that would make all answers
 * late, so only those wait whose answers can be in time, and the rest is refused at once.
 */
import type {Milliseconds} from '../protocol/decision.js';
import {FairQueue} from './fair-queue.js';

/** Calls of a customer that one step of priority puts a call ahead of. */
const priorityCost = 2;
/** Lowest priority of a call; 0 is the most urgent. */
const lowestPriority = 9;
/** Time for which calls may wait as long as their callers do, in milliseconds: a shortage that is over soon. */
export const maxBacklogMs = 10_000;
/** Weight of a new interval between two calls in the smoothed one (EWMA). */
const intervalWeight = 0.2;

export type QueuedCall<Value> = {
	readonly value: Value;
	readonly customer: string;
	/** 0 (most urgent) to 9. */
	readonly priority: number;
	/** Latest steady-clock time at which its beginning is useful, in milliseconds. */
	readonly latestStartAt: Milliseconds;
	/** Longest wait after which its answer is still in time, in milliseconds; it counts in a lasting overload. */
	readonly maxWaitMs: Milliseconds;
};

export class CallQueue<Value> {
	readonly #queue = new FairQueue<QueuedCall<Value>>(priorityCost);
	/** Smoothed time between the beginnings of two calls while others wait, in milliseconds. */
	#intervalMs: Milliseconds = 0;
	/** Since when some call has been waiting at any time, in milliseconds. */
	#backlogSince: Milliseconds = 0;
	/** Since when calls wait and none has begun, in milliseconds. */
	#waitingSince: Milliseconds = 0;

	get size(): number {
		return this.#queue.size;
	}

	/** Smoothed time between the beginnings of two calls while others wait, in milliseconds; 0 if none had to wait. */
	get intervalMs(): Milliseconds {
		return this.#intervalMs;
	}

	/** Adds a call; returns false and leaves it out if it can't begin in time. */
	tryAdd(call: QueuedCall<Value>, now: Milliseconds): boolean {
		const {size} = this.#queue;
		if (size === 0) {
			this.#backlogSince = now;
			this.#waitingSince = now;
		}

		const expectedMs = Math.max(
			size * this.#intervalMs,
			now - this.#waitingSince,
		);
		const isLasting = now - this.#backlogSince > maxBacklogMs;
		const isInTime =
			now + expectedMs <= call.latestStartAt &&
			(!isLasting || expectedMs <= call.maxWaitMs);
		if (isInTime) {
			this.#queue.add({
				sharePath: [{key: call.customer, weight: 1}],
				cost: 1,
				priority: lowestPriority - call.priority,
				value: call,
			});
		}

		return isInTime;
	}

	/** Takes the call that begins next; undefined if none waits. */
	take(now: Milliseconds): Value | undefined {
		const next = this.#queue.take();
		if (!next) {
			return undefined;
		}

		const intervalMs = now - this.#waitingSince;
		this.#intervalMs += (intervalMs - this.#intervalMs) * intervalWeight;
		this.#waitingSince = now;
		return next.value.value;
	}

	/** Removes the calls that can't begin in time any more, and returns them. */
	removeLate(now: Milliseconds): Value[] {
		const late: Value[] = [];
		this.#queue.remove(({value, latestStartAt}) => {
			const isLate = now > latestStartAt;
			if (isLate) {
				late.push(value);
			}

			return isLate;
		});
		return late;
	}

	/** Removes a call; returns whether it was waiting. */
	remove(value: Value): boolean {
		return this.#queue.remove((call) => call.value === value) > 0;
	}
}

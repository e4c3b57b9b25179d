/** Watches the process's event loop, to know how old input is when it is read. */
import {
	computeUnreadMs,
	createLoopTicks,
	type LifeCycle,
	loopTickMs,
	recordLoopTick,
} from 'bramleystage';
import type {RequestRecorder} from './request-recorder.js';

const msPerSecond = 1000;

export type LoopWatchOptions = {
	readonly recorder: Pick<RequestRecorder, 'registerGauge'>;
	readonly lifeCycle: LifeCycle;
	readonly readClock: () => number;
};

export class LoopWatch {
	#ticks;
	/** Longest time that input may have waited since the metrics were last collected, in milliseconds. */
	#longestMs = 0;

	constructor({recorder, lifeCycle, readClock}: LoopWatchOptions) {
		this.#ticks = createLoopTicks(readClock());
		lifeCycle.registerInterval(loopTickMs, () => {
			const now = readClock();
			this.#longestMs = Math.max(this.#longestMs, this.measureUnreadMs(now));
			this.#ticks = recordLoopTick(this.#ticks, now);
		});
		recorder.registerGauge(
			'loop_delay_seconds',
			'Longest time that input may have waited to be read since the last collection',
			() => {
				const longestMs = this.#longestMs;
				this.#longestMs = 0;
				return longestMs / msPerSecond;
			},
		);
	}

	/** Measures for how long input that is read now may have waited, in milliseconds. */
	measureUnreadMs(now: number): number {
		return computeUnreadMs(this.#ticks, now);
	}
}

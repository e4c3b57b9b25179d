/** Smoothed rate and step time of a backend server, as its agent sees them. */
import type {Milliseconds} from '../protocol/decision.js';

/** Weight of the newest sample. */
const smoothing = 0.3;
/** Busy time of one sample of the rate, in milliseconds. */
const sampleMs = 50;
/** What was not measured for this long is reported as unknown. */
const memoryMs = 5000;
const msPerSecond = 1000;

export class RateMeter {
	#rate = 0;
	#ratedAt: Milliseconds = -Infinity;
	#sampleCost = 0;
	#sampleMs = 0;
	#busySince: Milliseconds = 0;
	#stepMs = 0;
	#steppedAt: Milliseconds = -Infinity;

	/** Records that the server becomes busy. */
	start(now: Milliseconds): void {
		this.#busySince = now;
	}

	/** Records one finished item and the time that it took. */
	finish(cost: number, tookMs: Milliseconds, now: Milliseconds): void {
		const isKnown = now - this.#steppedAt < memoryMs;
		this.#stepMs = isKnown ? smooth(this.#stepMs, tookMs) : tookMs;
		this.#steppedAt = now;
		this.#sampleCost += cost;
		this.#sampleMs += now - this.#busySince;
		this.#busySince = now;
		if (this.#sampleMs >= sampleMs) {
			this.#recordSample(now);
		}
	}

	/** Drops the sample: without a queue a rate tells of the demand. */
	cancelSample(): void {
		this.#sampleCost = 0;
		this.#sampleMs = 0;
	}

	/** Gives the rate (0 is unknown) and the step time (absent is unknown). */
	describe(now: Milliseconds): {rate: number; stepMs?: number} {
		const rate = now - this.#ratedAt < memoryMs ? this.#rate : 0;
		return now - this.#steppedAt < memoryMs
			? {rate, stepMs: this.#stepMs}
			: {rate};
	}

	#recordSample(now: Milliseconds): void {
		const rate = (this.#sampleCost * msPerSecond) / this.#sampleMs;
		const isKnown = now - this.#ratedAt < memoryMs;
		this.#rate = isKnown ? smooth(this.#rate, rate) : rate;
		this.#ratedAt = now;
		this.cancelSample();
	}
}

const smooth = (previous: number, sample: number) =>
	previous + smoothing * (sample - previous);

/** Measures the smoothed (EWMA) rate and step time of a backend server. */
import type {Milliseconds} from '../protocol/decision.js';

/** Weight of the newest sample. */
const smoothingFactor = 0.3;
/** Minimum busy time that a sample of the rate covers, in milliseconds. */
const minSampleMs = 50;
/** A value older than this is reported as unknown, in milliseconds. */
const maxAgeMs = 5000;
const msPerSecond = 1000;

export class RateMeter {
	#rate = 0;
	#rateUpdatedAt: Milliseconds = -Infinity;
	#sampleCost = 0;
	#sampleMs = 0;
	#busySince: Milliseconds = 0;
	#stepMs = 0;
	#stepUpdatedAt: Milliseconds = -Infinity;

	/** Records that the server has become busy. */
	start(now: Milliseconds): void {
		this.#busySince = now;
	}

	/** Records a finished item, its cost and the time that it took. */
	finish(cost: number, tookMs: Milliseconds, now: Milliseconds): void {
		const isRecent = now - this.#stepUpdatedAt < maxAgeMs;
		this.#stepMs = isRecent ? smooth(this.#stepMs, tookMs) : tookMs;
		this.#stepUpdatedAt = now;
		this.#sampleCost += cost;
		this.#sampleMs += now - this.#busySince;
		this.#busySince = now;
		if (this.#sampleMs >= minSampleMs) {
			this.#recordSample(now);
		}
	}

	/** Discards the current sample. Without a queue, the rate would reflect the demand, not the server. */
	cancelSample(): void {
		this.#sampleCost = 0;
		this.#sampleMs = 0;
	}

	/** Returns the rate in cost per second (0 if unknown) and the step time (absent if unknown). */
	describe(now: Milliseconds): {rate: number; stepMs?: number} {
		const rate = now - this.#rateUpdatedAt < maxAgeMs ? this.#rate : 0;
		return now - this.#stepUpdatedAt < maxAgeMs
			? {rate, stepMs: this.#stepMs}
			: {rate};
	}

	#recordSample(now: Milliseconds): void {
		const rate = (this.#sampleCost * msPerSecond) / this.#sampleMs;
		const isRecent = now - this.#rateUpdatedAt < maxAgeMs;
		this.#rate = isRecent ? smooth(this.#rate, rate) : rate;
		this.#rateUpdatedAt = now;
		this.cancelSample();
	}
}

const smooth = (previous: number, sample: number) =>
	previous + smoothingFactor * (sample - previous);

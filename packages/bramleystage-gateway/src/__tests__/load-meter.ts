/** Measures the load of one gateway, or of all of them together, in steps of a test. */
import type {PriorityRates, ServiceLoad} from 'bramleystage';

export const stepMs = 50;
const streamTokens = 1000;
/** Time over which rates are smoothed, in milliseconds. */
const smoothingMs = 1000;
const priorities = [0, 1, 2] as const;

type Rates = {arrivals: number; admissions: number};

/** What one gateway has measured, or all of them together. */
export class LoadMeter {
	running = 0;
	#ends = 0;
	#endCount = 0;
	readonly #rates = priorities.map((): Rates => ({arrivals: 0, admissions: 0}));
	readonly #counts = priorities.map((): Rates => ({
		arrivals: 0,
		admissions: 0,
	}));

	recordCall(priority: number, isAdmitted: boolean): void {
		const counts = this.#counts[priority];
		if (counts) {
			counts.arrivals++;
			counts.admissions += isAdmitted ? 1 : 0;
			this.running += isAdmitted ? 1 : 0;
		}
	}

	recordEnd(): void {
		this.running--;
		this.#endCount++;
	}

	/** Ends a step. */
	advance(): void {
		const weight = stepMs / smoothingMs;
		const smooth = (rate: number, count: number) =>
			rate + ((count * 1000) / stepMs - rate) * weight;
		this.#ends = smooth(this.#ends, this.#endCount);
		this.#endCount = 0;
		for (const [index, rates] of this.#rates.entries()) {
			const counts = this.#counts[index];
			if (counts) {
				rates.arrivals = smooth(rates.arrivals, counts.arrivals);
				rates.admissions = smooth(rates.admissions, counts.admissions);
				counts.arrivals = 0;
				counts.admissions = 0;
			}
		}
	}

	describe(factor = 1): ServiceLoad {
		const rates = this.#rates.map(
			({arrivals, admissions}, priority): PriorityRates => ({
				priority,
				arrivals: arrivals * factor,
				admissions: admissions * factor,
			}),
		);
		return {
			running: this.running * factor,
			tokens: this.running * factor * streamTokens,
			ends: this.#ends * factor,
			rates: rates.filter(({arrivals}) => arrivals > 0.01),
		};
	}
}

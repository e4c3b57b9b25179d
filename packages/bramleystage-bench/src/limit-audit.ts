/**
 * Checks from outside the entries whether limits are enforced: for rate limits by
 * the use in any window of one second, for concurrent limits by the use at any
 * moment.
 */
import type {Limit, LimitKey} from 'bramleystage';
import type {LimitObserver} from './limit-simulation.js';

const windowMs = 1000;

type Admission = {readonly at: number; readonly amount: number};

export class LimitAudit implements LimitObserver {
	readonly #windows = new Map<
		LimitKey,
		{admissions: Admission[]; sum: number}
	>();

	readonly #concurrentCount = new Map<LimitKey, number>();
	/** Running work integrated over time, up to the time of the last change. */
	readonly #concurrentTime = new Map<LimitKey, {at: number; area: number}>();
	readonly #admittedTotal = new Map<LimitKey, number>();
	#maxOver = 0;

	/** Largest excess over a limit, as a fraction of the limit; 0 if none was exceeded. */
	get maxOver(): number {
		return this.#maxOver;
	}

	recordRateUse(limit: Limit, amount: number, at: number): void {
		const window = this.#windows.get(limit.key) ?? {admissions: [], sum: 0};
		this.#windows.set(limit.key, window);
		window.admissions.push({at, amount});
		window.sum += amount;
		while ((window.admissions[0]?.at ?? at) <= at - windowMs) {
			window.sum -= window.admissions.shift()?.amount ?? 0;
		}

		const total = this.#admittedTotal.get(limit.key) ?? 0;
		this.#admittedTotal.set(limit.key, total + amount);
		this.#recordExcess(limit, window.sum);
	}

	recordConcurrencyChange(limit: Limit, change: 1 | -1, at: number): void {
		const concurrentCount = this.#concurrentCount.get(limit.key) ?? 0;
		const time = this.#concurrentTime.get(limit.key) ?? {at, area: 0};
		const area = time.area + concurrentCount * (at - time.at);
		this.#concurrentTime.set(limit.key, {at, area});
		this.#concurrentCount.set(limit.key, concurrentCount + change);
		this.#recordExcess(limit, concurrentCount + change);
	}

	/** Returns the mean use of a limit over `durationMs`, as a fraction of the limit. */
	measureUtilization({key, kind, limit}: Limit, durationMs: number): number {
		const used =
			kind === 'concurrent'
				? (this.#concurrentTime.get(key)?.area ?? 0) / durationMs
				: ((this.#admittedTotal.get(key) ?? 0) * 1000) / durationMs;
		return used / limit;
	}

	#recordExcess({limit}: Limit, level: number): void {
		this.#maxOver = Math.max(this.#maxOver, (level - limit) / limit);
	}
}

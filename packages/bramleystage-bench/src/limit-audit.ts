/** What an auditor sees of limits: the most that any second, or any moment, had. */
import type {Limit, LimitKey} from 'bramleystage';
import type {Observer} from './limit-world.js';

const windowMs = 1000;

type Admission = {readonly at: number; readonly amount: number};

export class LimitAudit implements Observer {
	readonly #windows = new Map<
		LimitKey,
		{admissions: Admission[]; sum: number}
	>();

	readonly #held = new Map<LimitKey, number>();
	readonly #heldTime = new Map<LimitKey, {at: number; area: number}>();
	readonly #total = new Map<LimitKey, number>();
	#maxOver = 0;

	/** Largest share by which a limit was passed; 0 if none was. */
	get maxOver(): number {
		return this.#maxOver;
	}

	recordRate(limit: Limit, amount: number, at: number): void {
		const window = this.#windows.get(limit.key) ?? {admissions: [], sum: 0};
		this.#windows.set(limit.key, window);
		window.admissions.push({at, amount});
		window.sum += amount;
		while ((window.admissions[0]?.at ?? at) <= at - windowMs) {
			window.sum -= window.admissions.shift()?.amount ?? 0;
		}

		const total = this.#total.get(limit.key) ?? 0;
		this.#total.set(limit.key, total + amount);
		this.#recordLevel(limit, window.sum);
	}

	recordHeld(limit: Limit, change: 1 | -1, at: number): void {
		const held = this.#held.get(limit.key) ?? 0;
		const time = this.#heldTime.get(limit.key) ?? {at, area: 0};
		const area = time.area + held * (at - time.at);
		this.#heldTime.set(limit.key, {at, area});
		this.#held.set(limit.key, held + change);
		this.#recordLevel(limit, held + change);
	}

	/** Share of a limit that was used over a time, in milliseconds. */
	measureUse({key, kind, limit}: Limit, durationMs: number): number {
		const used =
			kind === 'concurrent'
				? (this.#heldTime.get(key)?.area ?? 0) / durationMs
				: ((this.#total.get(key) ?? 0) * 1000) / durationMs;
		return used / limit;
	}

	#recordLevel({limit}: Limit, level: number): void {
		this.#maxOver = Math.max(this.#maxOver, (level - limit) / limit);
	}
}

/** Which gateways were disturbed when, and for which of them the bound of a change holds. */

type Span = {readonly from: number; readonly until: number};

/** Time for which a gateway must have been undisturbed, in milliseconds. */
const calmMs = 3000;

export class TroubleHistory {
	/** Spans in which a gateway or its link was disturbed. */
	readonly #troubles: Span[][];
	/** Spans in which the store did not serve a gateway. */
	readonly #refusals: Span[][];
	/** Spans in which the store was disturbed for all. */
	readonly #storeTroubles: Span[] = [];

	constructor(private readonly count: number) {
		this.#troubles = Array.from({length: count}, () => []);
		this.#refusals = Array.from({length: count}, () => []);
	}

	recordTrouble(index: number, from: number, until: number): void {
		this.#troubles[index]?.push({from, until});
	}

	recordRefusal(index: number, from: number, until: number): void {
		this.#refusals[index]?.push({from, until});
	}

	recordStoreTrouble(from: number, until: number): void {
		this.#storeTroubles.push({from, until});
	}

	/**
	 * Whether a change must be in force in time at a gateway: it was undisturbed, and the
	 * store served it or another undisturbed gateway all the while.
	 */
	isBound(index: number, now: number): boolean {
		if (this.#wasIn(this.#storeTroubles, now) || !this.#isCalm(index, now)) {
			return false;
		}

		for (let other = 0; other < this.count; other++) {
			if (
				this.#isCalm(other, now) &&
				!this.#wasIn(this.#refusals[other] ?? [], now)
			) {
				return true;
			}
		}

		return false;
	}

	#isCalm(index: number, now: number): boolean {
		return !this.#wasIn(this.#troubles[index] ?? [], now);
	}

	#wasIn(spans: readonly Span[], now: number): boolean {
		return spans.some(({from, until}) => from <= now && until > now - calmMs);
	}
}

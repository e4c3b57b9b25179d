/** The calls that have begun and not ended, and how long those of each route take. */
import {
	type CallDurations,
	findLongestDuration,
	recordDuration,
} from 'bramleystage';
import type {Call} from './call.js';

type OpenCall = {
	/** Steady-clock time at which it began, in milliseconds. */
	readonly begunAt: number;
	/** Ends it with an answer that says what is known of it. */
	readonly stop: () => void;
};

export class OpenCalls {
	readonly #calls = new Map<Call, OpenCall>();
	#durations: CallDurations = new Map();

	add(call: Call, openCall: OpenCall): void {
		this.#calls.set(call, openCall);
	}

	/** Records the end of a call. */
	recordEnd(call: Call, now: number): void {
		const known = this.#calls.get(call);
		if (known) {
			this.#calls.delete(call);
			const durationMs = now - known.begunAt;
			const {name} = call.route;
			this.#durations = recordDuration(this.#durations, name, durationMs, now);
		}
	}

	/** Finds the longest time that a call of the same route took lately, or has taken so far, in milliseconds; undefined if there was none. */
	findLongestMs({route}: Call, now: number): number | undefined {
		const running = [...this.#calls]
			.filter(([{route: other}]) => other.name === route.name)
			.map(([, {begunAt}]) => now - begunAt);
		const longest = Math.max(
			findLongestDuration(this.#durations, route.name, now) ?? -1,
			...running,
		);
		return longest < 0 ? undefined : longest;
	}

	/** Ends all calls, as the process is about to exit. */
	stop(): void {
		for (const {stop} of this.#calls.values()) {
			stop();
		}
	}
}

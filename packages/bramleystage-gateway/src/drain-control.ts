/** The planned stop of a gateway: which calls it still takes, and how it waits for those that run. */
import type {Failure, Logger} from 'bramleystage';
import type {Call} from './call.js';
import type {CallerServer} from './caller-server.js';
import {
	computeAcceptUntil,
	computeSuccessorServingAt,
	decideDrainRefusal,
	type DrainTimes,
	computeCallMs,
} from './drain-policy.js';
import {waitForCallers} from './drain-wait.js';
import {OpenCalls} from './open-calls.js';

export type DrainControlOptions = {
	/** Grace period between the stop signal and the kill, in milliseconds. */
	readonly graceMs: number;
	/** Computes the expected duration of a stream from its tokens, in milliseconds; undefined if it names none. */
	readonly computeStreamMs: (call: Call) => number | undefined;
	/** Returns the steady-clock time at which the first other gateway serves, if known. */
	readonly findServingAt: () => number | undefined;
	readonly logger: Logger;
	readonly readClock: () => number;
};

export class DrainControl {
	readonly openCalls = new OpenCalls();
	#times: DrainTimes | undefined;

	constructor(private readonly options: DrainControlOptions) {}

	get isStopping(): boolean {
		return this.#times !== undefined;
	}

	/** Steady-clock time at which a successor serves, in milliseconds; undefined if none is to come. */
	get backAt(): number | undefined {
		return this.#times && computeSuccessorServingAt(this.#times);
	}

	/** Whether the process exits so soon that a stream is passed on only when it is whole. */
	get holdsStreams(): boolean {
		return (
			this.#times !== undefined &&
			this.options.readClock() >= computeAcceptUntil(this.#times)
		);
	}

	/** Begins the stop. */
	start(): void {
		const {graceMs, readClock} = this.options;
		this.#times = {stoppingAt: readClock(), graceMs};
	}

	/** Finds the reason to refuse a call that might still be running when this process exits. */
	findRefusal(call: Call): Failure | undefined {
		if (!this.#times) {
			return undefined;
		}

		const now = this.options.readClock();
		const estimateMs = computeCallMs({
			namedMs: this.options.computeStreamMs(call),
			longestMs: this.openCalls.findLongestMs(call, now),
			untilDeadlineMs: call.deadlineAt - now,
		});
		const servingAt = this.options.findServingAt();
		return decideDrainRefusal(this.#times, {estimateMs, servingAt}, now);
	}

	/** Waits until callers have their answers, at most until the process has to exit. */
	async waitForCallers(callers: CallerServer): Promise<void> {
		if (this.#times) {
			await waitForCallers(callers, this.openCalls, this.#times, this.options);
		}
	}
}

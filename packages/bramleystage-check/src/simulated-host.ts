/**
 * Processes in virtual time. Each task belongs to one process: it waits while the
 * process is paused and is dropped once the process has ended. While a simulation
 * runs, the global timers schedule tasks of the process whose task runs.
 */
import {VirtualClock} from 'bramleystage-stand-ins';

/** One run of a process, from its start to its end. */
export type SimulatedProcess = {
	isEnded: boolean;
	/** Time until which it does not run, in milliseconds. */
	pausedUntil: number;
};

export const createProcess = (): SimulatedProcess => ({
	isEnded: false,
	pausedUntil: 0,
});

type Timer = {cancel: () => void; unref: () => Timer; ref: () => Timer};

const takeTurn = setImmediate;

export class SimulatedHosts {
	readonly time = new VirtualClock();
	#current: SimulatedProcess | undefined;

	get now(): number {
		return this.time.now;
	}

	/** Schedules a task of a process; returns a function that cancels it. */
	schedule(
		process: SimulatedProcess | undefined,
		delayMs: number,
		run: () => void,
	): () => void {
		let cancel = () => undefined as void;
		const runTask = () => {
			if (process?.isEnded) {
				return;
			}

			if (process && process.pausedUntil > this.now) {
				cancel = this.time.schedule(process.pausedUntil - this.now, runTask);
				return;
			}

			this.#current = process;
			run();
		};

		cancel = this.time.schedule(Math.max(0, delayMs), runTask);
		return () => {
			cancel();
		};
	}

	/** Runs all tasks up to a time, in milliseconds; promises settle between two tasks. */
	async run(until: number): Promise<void> {
		const restore = this.#replaceTimers();
		try {
			while (this.time.runNext(until)) {
				// Tasks run in the order of time.
				// eslint-disable-next-line no-await-in-loop
				await new Promise((resolve) => {
					takeTurn(resolve);
				});
			}
		} finally {
			restore();
		}
	}

	#replaceTimers(): () => void {
		const originals = {setTimeout, setInterval, clearTimeout, clearInterval};
		const createTimer = (cancel: () => void): Timer => {
			const timer: Timer = {cancel, unref: () => timer, ref: () => timer};
			return timer;
		};

		const startTimer = (run: () => void, delayMs = 0) =>
			createTimer(this.schedule(this.#current, Math.max(1, delayMs), run));
		const startInterval = (run: () => void, intervalMs = 1) => {
			const process = this.#current;
			let isStopped = false;
			let cancel = () => undefined as void;
			const runOnce = () => {
				run();
				if (!isStopped) {
					cancel = this.schedule(process, intervalMs, runOnce);
				}
			};

			cancel = this.schedule(process, intervalMs, runOnce);
			return createTimer(() => {
				isStopped = true;
				cancel();
			});
		};

		const stopTimer = (timer: Timer | undefined) => {
			timer?.cancel();
		};

		Object.assign(globalThis, {
			setTimeout: startTimer,
			setInterval: startInterval,
			clearTimeout: stopTimer,
			clearInterval: stopTimer,
		});
		return () => {
			Object.assign(globalThis, originals);
		};
	}
}

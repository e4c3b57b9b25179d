/**
 * Ownership and clean-up. A life cycle owns what a process or a part of it
 * opened: `register` takes a clean-up, `stop` runs them once, newest first.
 */

/** Undoes one registration; safe to call twice. */
export type CleanUp = () => void | Promise<void>;

/** Merges clean-ups into one that runs them newest first. */
export function mergeCleanUps(...cleanUps: readonly CleanUp[]): CleanUp {
	let isDone = false;
	return async () => {
		if (isDone) {
			return;
		}

		isDone = true;
		for (const cleanUp of cleanUps.toReversed()) {
			// Each may rely on what was opened before it, so they run in turn.
			// eslint-disable-next-line no-await-in-loop
			await cleanUp();
		}
	};
}

export class LifeCycle {
	readonly #cleanUps: CleanUp[] = [];
	#stopped: Promise<void> | undefined;

	get isStopped(): boolean {
		return this.#stopped !== undefined;
	}

	/**
	 * Takes a clean-up to run at the stop; gives back a way to run it earlier.
	 * After the stop the clean-up runs at once, so that nothing stays open.
	 */
	register(cleanUp: CleanUp): CleanUp {
		if (this.isStopped) {
			void cleanUp();
			return () => undefined;
		}

		this.#cleanUps.push(cleanUp);
		return async () => {
			const index = this.#cleanUps.indexOf(cleanUp);
			if (index !== -1) {
				this.#cleanUps.splice(index, 1);
				await cleanUp();
			}
		};
	}

	/** Calls a function at an interval, in milliseconds, until the stop. */
	registerInterval(intervalMs: number, tick: () => void): CleanUp {
		const timer = setInterval(tick, intervalMs);
		return this.register(() => {
			clearInterval(timer);
		});
	}

	/** Calls a function once after a time, in milliseconds, unless stopped before. */
	registerTimeout(delayMs: number, act: () => void): void {
		if (this.isStopped) {
			return;
		}

		const timer = setTimeout(() => {
			void cleanUp();
			act();
		}, delayMs);
		const cleanUp = this.register(() => {
			clearTimeout(timer);
		});
	}

	/** Runs every clean-up once. */
	async stop(): Promise<void> {
		this.#stopped ??= (async () => {
			await mergeCleanUps(...this.#cleanUps.splice(0))();
		})();
		return this.#stopped;
	}
}

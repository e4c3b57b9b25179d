/**
 * Clean-up of resources at shutdown. A life cycle owns the sockets, timers and
 * subscriptions of a process or of one component: `register` adds a clean-up,
 * `stop` runs all of them once, newest first.
 */

/** Releases one resource; may be called more than once. */
export type CleanUp = () => void | Promise<void>;

/** Merges clean-ups into one that runs them once, last argument first. */
export function mergeCleanUps(...cleanUps: readonly CleanUp[]): CleanUp {
	let isDone = false;
	return async () => {
		if (isDone) {
			return;
		}

		isDone = true;
		for (const cleanUp of cleanUps.toReversed()) {
			// A resource may depend on those opened before it, so the clean-ups run in
			// sequence.
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
	 * Adds a clean-up that `stop` runs; returns a function that runs it earlier.
	 * After `stop` the clean-up runs immediately, so that no resource stays open.
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

	/** Calls a function at an interval, in milliseconds, until `stop`. */
	registerInterval(intervalMs: number, callback: () => void): CleanUp {
		const timer = setInterval(callback, intervalMs);
		return this.register(() => {
			clearInterval(timer);
		});
	}

	/**
	 * Calls a function once after a delay, in milliseconds, unless `stop` comes
	 * first.
	 */
	registerTimeout(delayMs: number, callback: () => void): void {
		if (this.isStopped) {
			return;
		}

		const timer = setTimeout(() => {
			void cleanUp();
			callback();
		}, delayMs);
		const cleanUp = this.register(() => {
			clearTimeout(timer);
		});
	}

	/** Runs every clean-up once; further calls wait for the same run. */
	async stop(): Promise<void> {
		this.#stopped ??= (async () => {
			await mergeCleanUps(...this.#cleanUps.splice(0))();
		})();
		return this.#stopped;
	}
}

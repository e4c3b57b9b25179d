/**
 * A caller's connection: when what it sends may have arrived, and whether the caller is
 * still there. A caller that has ended its sending side counts as gone: nearly all of them
 * have closed the connection, which looks the same until something is written.
 */
import type {Socket} from 'node:net';

export type Acceptance = {
	/** Number of the turn of the event loop. */
	readonly turn: number;
	/** Earliest steady-clock time at which the connection may have been opened, in milliseconds. */
	readonly openedAfter: number;
};

export class CallerConnection {
	#hasLeft = false;
	/** Called when the caller leaves. */
	readonly #listeners = new Set<() => void>();

	constructor(
		socket: Socket,
		/** When and in which turn of the event loop it was accepted. */
		readonly acceptance: Acceptance,
	) {
		const handleLeave = () => {
			if (this.#hasLeft) {
				return;
			}

			this.#hasLeft = true;
			for (const listener of this.#listeners) {
				listener();
			}

			this.#listeners.clear();
		};

		// Node ends the socket in its own listener, after which nothing can be written.
		socket.prependListener('end', handleLeave);
		socket.once('close', handleLeave);
	}

	get hasLeft(): boolean {
		return this.#hasLeft;
	}

	/** Calls `listener` once when the caller leaves, unless it has left already; the returned function ends that. */
	registerLeave(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}
}

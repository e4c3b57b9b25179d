/** A connection between simulated gateways. */
import {EventEmitter} from 'node:events';
import type {SimulatedProcess} from './simulated-host.js';
import type {Place, SimulatedNetwork} from './simulated-network.js';

/** One end of a connection, with the part of a socket's interface that gateways use. */
// Gateways use the events of Node.js sockets.
// eslint-disable-next-line unicorn/prefer-event-target
export class SimulatedSocket extends EventEmitter {
	connecting = true;
	destroyed = false;
	bytesRead = 0;
	writableNeedDrain = false;
	#other: SimulatedSocket | undefined;
	#lastArrivalAt = 0;
	#idleMs = 0;
	#cancelIdle: (() => void) | undefined;

	constructor(
		private readonly network: SimulatedNetwork,
		private readonly place: Place,
		private readonly process: SimulatedProcess,
	) {
		super();
	}

	get writable(): boolean {
		return !this.destroyed;
	}

	join(other: SimulatedSocket): void {
		this.#other = other;
		this.connecting = false;
	}

	openTo(other: SimulatedSocket): void {
		if (this.destroyed) {
			return;
		}

		this.join(other);
		this.#recordActivity();
		this.emit('connect');
	}

	setNoDelay(): this {
		return this;
	}

	setTimeout(idleMs: number, handleIdle?: () => void): this {
		this.#idleMs = idleMs;
		if (handleIdle) {
			this.on('timeout', handleIdle);
		}

		this.#recordActivity();
		return this;
	}

	write(bytes: Buffer): boolean {
		if (!this.destroyed) {
			this.#recordActivity();
			this.#send((other) => {
				other.receive(bytes);
			});
		}

		return true;
	}

	end(bytes?: Buffer): this {
		if (bytes) {
			this.write(bytes);
		}

		this.destroy();
		return this;
	}

	destroy(): this {
		if (!this.destroyed) {
			this.sendEnd();
			this.#close();
		}

		return this;
	}

	fail(code: string): void {
		if (!this.destroyed) {
			this.emit('error', new Error(code));
			this.#close();
		}
	}

	receive(bytes: Buffer): void {
		if (!this.destroyed) {
			this.bytesRead += bytes.length;
			this.#recordActivity();
			this.emit('data', bytes);
		}
	}

	/** Tells the other end that this one is closed. */
	sendEnd(): void {
		this.#send((other) => {
			other.#close();
		});
	}

	#send(arrive: (other: SimulatedSocket) => void): void {
		const other = this.#other;
		if (!other) {
			return;
		}

		this.#lastArrivalAt = Math.max(
			this.#lastArrivalAt,
			this.network.computeArrival(this.place, other.place),
		);
		const {hosts} = this.network;
		hosts.schedule(other.process, this.#lastArrivalAt - hosts.now, () => {
			if (!other.destroyed) {
				arrive(other);
			}
		});
	}

	#close(): void {
		if (this.destroyed) {
			return;
		}

		this.destroyed = true;
		this.#cancelIdle?.();
		this.network.hosts.schedule(this.process, 0, () => {
			this.emit('close');
		});
	}

	#recordActivity(): void {
		this.#cancelIdle?.();
		if (this.#idleMs > 0 && !this.destroyed) {
			this.#cancelIdle = this.network.hosts.schedule(
				this.process,
				this.#idleMs,
				() => {
					this.emit('timeout');
				},
			);
		}
	}
}

/**
 * Connections to the engine that are kept for the next request. Whatever arrives
 * between two answers belongs to none, so it closes the connection.
 */
import http, {type ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';

export class EngineConnections extends http.Agent {
	/** What closes a connection that is not in use. */
	readonly #closers = new WeakMap<Duplex, () => void>();

	override keepSocketAlive(socket: Duplex): void {
		const close = () => {
			socket.destroy();
		};

		this.#closers.set(socket, close);
		socket.on('data', close);
		// Node's own method says by its result whether the connection is kept.
		super.keepSocketAlive(socket);
	}

	override reuseSocket(socket: Duplex, request: ClientRequest): void {
		const close = this.#closers.get(socket);
		if (close) {
			socket.off('data', close);
			this.#closers.delete(socket);
		}

		super.reuseSocket(socket, request);
	}
}

/**
 * A TCP relay that can silence connections: it stops forwarding bytes on open
 * connections without closing them, while new connections work.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {formatAddress, parseAddress, startServer} from 'bramleystage';

type Connection = {
	readonly client: Socket;
	readonly server: Socket;
	/** First bytes that the client sent; they identify who opened the connection. */
	firstBytes: Buffer | undefined;
	isSilent: boolean;
};

export class Relay {
	readonly #connections = new Set<Connection>();
	readonly #server: Server;
	#target = '';

	constructor() {
		this.#server = createServer({noDelay: true}, (client) => {
			this.#forward(client);
		});
	}

	get address(): string {
		return formatAddress(this.#server.address());
	}

	async listen(): Promise<void> {
		await startServer(this.#server, '127.0.0.1:0');
	}

	/** Whether a silenced connection is still open at both ends. */
	get hasSilentConnection(): boolean {
		return [...this.#connections].some((connection) => connection.isSilent);
	}

	/** Sets the address that new connections are forwarded to; if empty, they are reset. */
	setTarget(target: string): void {
		this.#target = target;
	}

	/** Silences the open connections that match and returns their number. */
	silence(matches: (firstBytes: Buffer) => boolean = () => true): number {
		const selected = [...this.#connections].filter(
			(connection) =>
				!connection.isSilent &&
				connection.firstBytes &&
				matches(connection.firstBytes),
		);
		for (const connection of selected) {
			connection.isSilent = true;
		}

		return selected.length;
	}

	close(): void {
		this.#server.close();
		for (const {client, server} of this.#connections) {
			client.destroy();
			server.destroy();
		}
	}

	#forward(client: Socket): void {
		if (this.#target === '') {
			client.resetAndDestroy();
			return;
		}

		const {host, port} = parseAddress(this.#target);
		const server = connect({host, port, noDelay: true});
		const connection: Connection = {
			client,
			server,
			firstBytes: undefined,
			isSilent: false,
		};
		this.#connections.add(connection);
		this.#pipe(connection, client, server);
		this.#pipe(connection, server, client);
	}

	#pipe(connection: Connection, from: Socket, to: Socket): void {
		from.on('data', (chunk: Buffer) => {
			if (from === connection.client) {
				connection.firstBytes ??= chunk;
			}

			if (!connection.isSilent) {
				to.write(chunk);
			}
		});
		from.on('error', () => {
			from.destroy();
		});
		from.on('close', () => {
			this.#connections.delete(connection);
			to.destroy();
		});
	}
}

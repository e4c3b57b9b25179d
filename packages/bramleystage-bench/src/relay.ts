/**
 * A TCP relay that can go silent: it stops passing bytes on connections that
 * are open, without closing them, while new connections work.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {formatAddress, parseAddress, startServer} from 'bramleystage';

type Link = {
	readonly client: Socket;
	readonly server: Socket;
	/** First bytes that the client sent; tells who opened the connection. */
	firstBytes: Buffer | undefined;
	isSilent: boolean;
};

export class Relay {
	readonly #links = new Set<Link>();
	readonly #server: Server;
	#target = '';

	constructor() {
		this.#server = createServer({noDelay: true}, (client) => {
			this.#pass(client);
		});
	}

	get address(): string {
		return formatAddress(this.#server.address());
	}

	async listen(): Promise<void> {
		await startServer(this.#server, '127.0.0.1:0');
	}

	/** Whether a silent connection is still open at both ends. */
	get isSilent(): boolean {
		return [...this.#links].some((link) => link.isSilent);
	}

	/** Sends new connections to this address. */
	update(target: string): void {
		this.#target = target;
	}

	/** Silences the open connections that match; gives their count. */
	silence(matches: (firstBytes: Buffer) => boolean = () => true): number {
		const chosen = [...this.#links].filter(
			(link) => !link.isSilent && link.firstBytes && matches(link.firstBytes),
		);
		for (const link of chosen) {
			link.isSilent = true;
		}

		return chosen.length;
	}

	close(): void {
		this.#server.close();
		for (const {client, server} of this.#links) {
			client.destroy();
			server.destroy();
		}
	}

	#pass(client: Socket): void {
		if (this.#target === '') {
			client.resetAndDestroy();
			return;
		}

		const {host, port} = parseAddress(this.#target);
		const server = connect({host, port, noDelay: true});
		const link: Link = {
			client,
			server,
			firstBytes: undefined,
			isSilent: false,
		};
		this.#links.add(link);
		this.#pipe(link, client, server);
		this.#pipe(link, server, client);
	}

	#pipe(link: Link, from: Socket, to: Socket): void {
		from.on('data', (chunk: Buffer) => {
			if (from === link.client) {
				link.firstBytes ??= chunk;
			}

			if (!link.isSilent) {
				to.write(chunk);
			}
		});
		from.on('error', () => {
			from.destroy();
		});
		from.on('close', () => {
			this.#links.delete(link);
			to.destroy();
		});
	}
}

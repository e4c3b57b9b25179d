/** A TCP relay that can stop forwarding on its open connections, without closing them, while new connections work. */
import {connect, createServer, type Socket} from 'node:net';
import {startServer} from 'bramleystage';

export type Relay = {
	readonly address: string;
	/** Stops forwarding bytes, permanently, on the connections that are currently open. */
	readonly silence: () => void;
	readonly close: () => void;
};

/** Starts a relay to the address `target`, `host:port`. */
export async function startRelay(target: string): Promise<Relay> {
	const [host, port] = target.split(':');
	const openSockets = new Set<Socket>();
	const server = createServer((incoming) => {
		const outgoing = connect({host, port: Number(port)});
		for (const [source, destination] of [
			[incoming, outgoing],
			[outgoing, incoming],
		] as const) {
			openSockets.add(source);
			source.pipe(destination);
			source.on('error', () => destination.destroy());
			source.on('close', () => {
				openSockets.delete(source);
			});
		}
	});
	const address = await startServer(server, '127.0.0.1:0');
	return {
		address,
		silence() {
			for (const socket of openSockets) {
				socket.unpipe();
				socket.pause();
			}
		},
		close() {
			server.close();
			for (const socket of openSockets) {
				socket.destroy();
			}
		},
	};
}

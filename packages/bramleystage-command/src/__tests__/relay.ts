/** A TCP relay whose open connections can go silent for good while new ones work. */
import {connect, createServer, type Socket} from 'node:net';
import {startServer} from 'bramleystage';

export type Relay = {
	readonly address: string;
	/** Stops passing bytes on the connections that are open now. */
	readonly silence: () => void;
	readonly close: () => void;
};

export async function startRelay(to: string): Promise<Relay> {
	const [host, port] = to.split(':');
	const open = new Set<Socket>();
	const server = createServer((near) => {
		const far = connect({host, port: Number(port)});
		for (const [from, onto] of [
			[near, far],
			[far, near],
		] as const) {
			open.add(from);
			from.pipe(onto);
			from.on('error', () => onto.destroy());
			from.on('close', () => {
				open.delete(from);
			});
		}
	});
	const address = await startServer(server, '127.0.0.1:0');
	return {
		address,
		silence() {
			for (const socket of open) {
				socket.unpipe();
				socket.pause();
			}
		},
		close() {
			server.close();
			for (const socket of open) {
				socket.destroy();
			}
		},
	};
}

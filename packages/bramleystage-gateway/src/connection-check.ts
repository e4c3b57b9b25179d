/** Tries a connection to a backend server to see whether anything serves at its address. */
import net from 'node:net';
import {parseAddress} from 'bramleystage';

/** Time after which a connection that was accepted counts as open, in milliseconds; one that nobody serves is closed at once. */
const keptOpenMs = 25;

/** `closed`: accepted and then closed at once; `silent`: neither accepted nor refused in time. */
export type ConnectionState = 'open' | 'refused' | 'closed' | 'silent';
export type CheckConnection = (
	address: string,
	timeoutMs: number,
) => Promise<ConnectionState>;

/** Opens a connection and closes it; tells what became of it. */
export const checkConnection: CheckConnection = async (address, timeoutMs) =>
	new Promise((resolve) => {
		const socket = net.connect(parseAddress(address));
		let isAccepted = false;
		const finish = (state: ConnectionState) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(state);
		};

		let timer = setTimeout(() => {
			finish('silent');
		}, timeoutMs);
		socket.on('connect', () => {
			isAccepted = true;
			clearTimeout(timer);
			timer = setTimeout(() => {
				finish('open');
			}, keptOpenMs);
		});
		socket.on('end', () => {
			finish('closed');
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			if (isAccepted) {
				finish('closed');
			} else {
				finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
			}
		});
		socket.resume();
	});

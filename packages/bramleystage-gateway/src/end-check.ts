/**
 * Finds out whether a server has ended together with its answer. An answer without a
 * length ends with its connection, and the kernel ends the connections of a killed process
 * as it ends those of a sound one. What differs is that nothing listens afterwards.
 */
import net from 'node:net';
import {
	isRefusedConnection,
	parseAddress,
	type SentRequest,
} from 'bramleystage';
import type {InstanceWatch} from './instance-watch.js';

/** Time within which a server accepts or refuses a connection over a sound link, in milliseconds. */
const connectTimeoutMs = 150;

/** Resolves to whether the instance that was sent a request has ended since, as far as a connection shows. */
export type CheckEnd = (sent: SentRequest) => Promise<boolean>;

export type EndCheckOptions = {
	readonly instances: Pick<InstanceWatch, 'hasEnded' | 'recordRefusal'>;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

/** Creates the check. A server that leaves may refuse connections, so that its refusal shows no end. */
export const createEndCheck =
	({instances, readClock, readLinkDelayMs}: EndCheckOptions): CheckEnd =>
	async (sent) => {
		const triedAt = readClock();
		const timeoutMs = connectTimeoutMs + readLinkDelayMs();
		if (await isRefused(sent.address, timeoutMs)) {
			instances.recordRefusal(sent.id, triedAt);
		}

		return instances.hasEnded(sent);
	};

/** Opens a connection and closes it at once; resolves to whether it was refused. */
async function isRefused(address: string, timeoutMs: number): Promise<boolean> {
	return new Promise((resolve) => {
		const socket = net.connect(parseAddress(address));
		const finish = (wasRefused: boolean) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(wasRefused);
		};

		const timer = setTimeout(() => {
			finish(false);
		}, timeoutMs);
		socket.on('connect', () => {
			finish(false);
		});
		socket.on('error', (error) => {
			finish(isRefusedConnection(error));
		});
	});
}

/**
 * Finds out whether a server has ended together with its answer. An answer without a
 * length ends with its connection, and the kernel ends the connections of a killed process
 * as it ends those of a sound one. What differs is that nothing listens afterwards. The
 * kernel closes what the process had open one by one, so that its listener may accept a
 * connection after the answer has ended, which is closed with the listener then.
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
/** Time for which an accepted connection must last to show that the server goes on, in milliseconds. */
const settleMs = 30;
/** Connections that are opened while each is closed at once, as a server may do that has too many. */
const maxTries = 3;

/** What a connection showed of a listener. */
type ListenerSign = 'refused' | 'closed' | 'open';

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
		if (await isRefused(sent.address, readLinkDelayMs())) {
			instances.recordRefusal(sent.id, triedAt);
		}

		return instances.hasEnded(sent);
	};

/** Resolves to whether connections to an address are refused, now or as soon as the one that it accepted is closed. */
async function isRefused(
	address: string,
	linkDelayMs: number,
	tries = 1,
): Promise<boolean> {
	const sign = await checkListener(address, linkDelayMs);
	return sign === 'closed' && tries < maxTries
		? isRefused(address, linkDelayMs, tries + 1)
		: sign === 'refused';
}

/** Opens a connection and closes it after a while. One that can't be opened in time shows nothing against the server. */
async function checkListener(
	address: string,
	linkDelayMs: number,
): Promise<ListenerSign> {
	return new Promise((resolve) => {
		const socket = net.connect(parseAddress(address));
		const finish = (sign: ListenerSign) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(sign);
		};

		const finishOpen = () => {
			finish('open');
		};

		let timer = setTimeout(finishOpen, connectTimeoutMs + linkDelayMs);
		socket.on('connect', () => {
			clearTimeout(timer);
			timer = setTimeout(finishOpen, settleMs + linkDelayMs);
			socket.resume();
		});
		socket.on('error', (error) => {
			finish(isRefusedConnection(error) ? 'refused' : 'closed');
		});
		socket.on('close', () => {
			finish('closed');
		});
	});
}

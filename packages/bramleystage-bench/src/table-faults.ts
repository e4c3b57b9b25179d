/** The faults of the table bench: a schedule, and a link to the log that can be cut. */
import {createServer, connect, type Socket} from 'node:net';
import {parseAddress, startServer, waitFor} from 'bramleystage';
import type {StandIn} from 'bramleystage-stand-ins';

/** A TCP link to the platform that can be cut and healed. */
export type CuttableLink = {
	readonly address: string;
	readonly setCut: (isCut: boolean) => void;
	readonly close: () => void;
};

/** Opens a link that forwards connections to an address. */
export async function openCuttableLink(target: string): Promise<CuttableLink> {
	let cut = false;
	const sockets = new Set<Socket>();
	const server = createServer((near) => {
		if (cut) {
			near.destroy();
			return;
		}

		const far = connect(parseAddress(target));
		for (const [socket, other] of [
			[near, far],
			[far, near],
		] as const) {
			sockets.add(socket);
			socket.on('error', () => other.destroy());
			socket.on('close', () => {
				sockets.delete(socket);
				other.destroy();
			});
			socket.pipe(other);
		}
	});
	const destroyAll = () => {
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	return {
		address: await startServer(server, '127.0.0.1:0'),
		setCut(isCut) {
			cut = isCut;
			if (isCut) {
				destroyAll();
			}
		},
		close() {
			server.close();
			destroyAll();
		},
	};
}

/** From when until when a fault held, in milliseconds of the bench's clock. */
export type FaultWindow = {readonly from: number; readonly until: number};

export type FaultWindows = {
	/** The second entry was cut off from the log. */
	readonly cut: FaultWindow;
	/** The log was out for all. */
	readonly outage: FaultWindow;
};

const slowMs = 800;
const slowForMs = 8000;
const lostForMs = 6000;
const lostStepMs = 150;
const lostAnswers = 3;
const outageMs = 5000;
const cutForMs = 8000;
const pauseMs = 4000;

/** Runs the faults one after another, with quiet times between them. */
export async function runFaults(
	platform: StandIn,
	link: CuttableLink,
	readClock: () => number,
): Promise<FaultWindows> {
	await waitFor(pauseMs);
	platform.setFaults({slowMs});
	await waitFor(slowForMs);
	platform.setFaults({slowMs: 0});
	await waitFor(pauseMs);
	for (let elapsed = 0; elapsed < lostForMs; elapsed += lostStepMs) {
		platform.setFaults({loseAnswers: lostAnswers});
		// eslint-disable-next-line no-await-in-loop -- a steady trickle of faults
		await waitFor(lostStepMs);
	}

	platform.setFaults({loseAnswers: 0, silent: true});
	await waitFor(pauseMs);
	const cutFrom = readClock();
	link.setCut(true);
	await waitFor(cutForMs);
	link.setCut(false);
	const cut = {from: cutFrom, until: readClock()};
	await waitFor(pauseMs);
	const from = readClock();
	platform.setFaults({down: true});
	await waitFor(outageMs);
	platform.setFaults({down: false});
	return {cut, outage: {from, until: readClock()}};
}

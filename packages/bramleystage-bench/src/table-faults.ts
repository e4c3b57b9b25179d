/** Fault schedule of the table bench, and a link to the log that can be partitioned. */
import {createServer, connect, type Socket} from 'node:net';
import {parseAddress, startServer, waitFor} from 'bramleystage';
import type {StandIn} from 'bramleystage-stand-ins';

/** A TCP link to the platform that can be partitioned and healed. */
export type PartitionableLink = {
	readonly address: string;
	readonly setPartitioned: (isPartitioned: boolean) => void;
	readonly close: () => void;
};

/** Opens a link that forwards connections to an address, given as `host:port`. */
export async function openPartitionableLink(
	target: string,
): Promise<PartitionableLink> {
	let isPartitioned = false;
	const sockets = new Set<Socket>();
	const server = createServer((incoming) => {
		if (isPartitioned) {
			incoming.destroy();
			return;
		}

		const outgoing = connect(parseAddress(target));
		for (const [socket, other] of [
			[incoming, outgoing],
			[outgoing, incoming],
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
		setPartitioned(value) {
			isPartitioned = value;
			if (value) {
				destroyAll();
			}
		},
		close() {
			server.close();
			destroyAll();
		},
	};
}

/** Start and end of a fault, in milliseconds of the bench's clock. */
export type FaultWindow = {readonly from: number; readonly until: number};

export type FaultWindows = {
	/** The second entry could not reach the log. */
	readonly partition: FaultWindow;
	/** The log was down for all processes. */
	readonly outage: FaultWindow;
};

const slowResponseMs = 800;
const slowDurationMs = 8000;
const lossDurationMs = 6000;
const lossIntervalMs = 150;
const lostResponsesPerInterval = 3;
const outageDurationMs = 5000;
const partitionDurationMs = 8000;
const pauseMs = 4000;

/** Injects the faults one after another, with fault-free pauses between them. */
export async function runFaultSchedule(
	platform: StandIn,
	link: PartitionableLink,
	readClock: () => number,
): Promise<FaultWindows> {
	await waitFor(pauseMs);
	platform.setFaults({slowMs: slowResponseMs});
	await waitFor(slowDurationMs);
	platform.setFaults({slowMs: 0});
	await waitFor(pauseMs);
	for (let elapsed = 0; elapsed < lossDurationMs; elapsed += lossIntervalMs) {
		platform.setFaults({loseAnswers: lostResponsesPerInterval});
		// eslint-disable-next-line no-await-in-loop -- loses responses at a steady rate
		await waitFor(lossIntervalMs);
	}

	platform.setFaults({loseAnswers: 0, silent: true});
	await waitFor(pauseMs);
	const partitionedFrom = readClock();
	link.setPartitioned(true);
	await waitFor(partitionDurationMs);
	link.setPartitioned(false);
	const partition = {from: partitionedFrom, until: readClock()};
	await waitFor(pauseMs);
	const from = readClock();
	platform.setFaults({down: true});
	await waitFor(outageDurationMs);
	platform.setFaults({down: false});
	return {partition, outage: {from, until: readClock()}};
}

/**
 * Connections between simulated gateways, and their links: bytes take a time, wait
 * while a link is cut, and are delayed at random while it loses packets. Bytes of one
 * connection arrive in order.
 */
import type {Socket} from 'node:net';
import type {SimulatedHosts, SimulatedProcess} from './simulated-host.js';
import {SimulatedSocket} from './simulated-socket.js';

/** A place in the network: a gateway's host, or the store. */
export type Place = string;

/** Trouble of a host's link, until a time in milliseconds. */
export type LinkTrouble = {
	readonly kind: 'cut' | 'loss';
	readonly direction: 'in' | 'out' | 'both';
	/** Only bytes between these places are concerned; absent if all are. */
	readonly others?: (place: Place) => boolean;
	readonly until: number;
};

export type Listener = {
	readonly process: SimulatedProcess;
	readonly accept: (socket: Socket) => void;
};

/** Delay between two places, in milliseconds. */
const minDelayMs = 0.4;
const maxJitterMs = 3;
/** Share of bytes that are delayed while packets are lost, and by how much, in milliseconds. */
const lossShare = 0.2;
const minRepeatMs = 200;
const maxRepeatMs = 600;

export class SimulatedNetwork {
	readonly listeners = new Map<Place, Listener>();
	/** Hosts without power, which answer nothing. */
	readonly dark = new Set<Place>();
	readonly #troubles = new Map<Place, LinkTrouble[]>();

	constructor(
		readonly hosts: SimulatedHosts,
		private readonly draw: () => number,
	) {}

	addTrouble(place: Place, trouble: LinkTrouble): void {
		this.#troubles.set(place, [...(this.#troubles.get(place) ?? []), trouble]);
	}

	/** Computes when what is sent now arrives; time in milliseconds. */
	computeArrival(from: Place, to: Place): number {
		const {now} = this.hosts;
		let arriveAt = now + minDelayMs + this.draw() * maxJitterMs;
		const concern = [
			...this.#listTroubles(from, to, 'out'),
			...this.#listTroubles(to, from, 'in'),
		];
		for (const {kind, until} of concern) {
			if (kind === 'cut') {
				// A packet that was lost is sent again after a while.
				arriveAt = Math.max(arriveAt, until + this.draw() * minRepeatMs);
			} else if (this.draw() < lossShare) {
				arriveAt += minRepeatMs + this.draw() * (maxRepeatMs - minRepeatMs);
			}
		}

		return arriveAt;
	}

	/** Opens a connection from a process to a place. */
	connect(from: Place, process: SimulatedProcess, to: Place): SimulatedSocket {
		const socket = new SimulatedSocket(this, from, process);
		this.hosts.schedule(undefined, this.#measureDelay(from, to), () => {
			if (this.dark.has(to)) {
				return;
			}

			const listener = this.listeners.get(to);
			if (!listener || listener.process.isEnded) {
				this.hosts.schedule(process, this.#measureDelay(to, from), () => {
					socket.fail('ECONNREFUSED');
				});
				return;
			}

			const accepted = new SimulatedSocket(this, to, listener.process);
			accepted.join(socket);
			this.hosts.schedule(listener.process, 0, () => {
				listener.accept(accepted as unknown as Socket);
			});
			this.hosts.schedule(process, this.#measureDelay(to, from), () => {
				socket.openTo(accepted);
			});
		});
		return socket;
	}

	/** Ends the connections of a process that was killed on a host that runs on. */
	closeConnections(sockets: Iterable<SimulatedSocket>): void {
		for (const socket of sockets) {
			socket.sendEnd();
		}
	}

	#measureDelay(from: Place, to: Place): number {
		return this.computeArrival(from, to) - this.hosts.now;
	}

	#listTroubles(
		place: Place,
		other: Place,
		direction: 'in' | 'out',
	): LinkTrouble[] {
		return (this.#troubles.get(place) ?? []).filter(
			(trouble) =>
				trouble.until > this.hosts.now &&
				(trouble.direction === 'both' || trouble.direction === direction) &&
				(trouble.others?.(other) ?? true),
		);
	}
}

/**
 * Gateways that measure demand and tell each other, without a network: each follows the first
 * two others by address that it reaches, pings them at an interval, and gets an update for
 * each ping. Messages take a fixed time and pass through the schemas of the connection.
 */
import {
	createRandom,
	type FleetLoad,
	type Random,
	type TimedTotal,
	toServiceName,
} from 'bramleystage';
import {
	applyPeerUpdate,
	buildPeerUpdate,
	createPeerState,
	peerUpdateSchema,
	pingSchema,
} from '../peer-update.js';
import {DemandWatch} from '../demand-watch.js';
import type {Call} from '../call.js';
import {buildCall} from './demand-call.js';

export const service = toServiceName('models');
const stepMs = 20;
const pingIntervalMs = 300;
const maxFollowedPeers = 2;
const emptyState = createPeerState();

export type SimulatedGateway = {
	readonly index: number;
	readonly watch: DemandWatch;
	/** Mean number of calls that arrive a second. */
	readonly arrivalRate: number;
	readonly totals: Map<number, TimedTotal>;
	readonly running: Array<{readonly call: Call; readonly endAt: number}>;
	nextPingAt: number;
	isAlive: boolean;
};

export type DemandFleetOptions = {
	readonly size: number;
	/** Mean number of calls a second at a gateway, by its index. */
	readonly readArrivalRate: (index: number) => number;
	/** Time that a message takes, in milliseconds. */
	readonly transitMs: number;
	/** Mean time that a call runs, in milliseconds. */
	readonly runMs?: number;
	readonly seed: number;
	/** Whether a gateway reaches another one. */
	readonly isConnected?: (a: number, b: number) => boolean;
	/** Peers that a gateway follows instead of the first ones that it reaches. */
	readonly listFollowed?: (index: number) => readonly number[] | undefined;
};

export class DemandFleet {
	now = 1000;
	/** Factor by which callers send more than usual. */
	demandFactor = 1;
	readonly gateways: SimulatedGateway[];
	#messages: Array<{readonly at: number; readonly deliver: () => void}> = [];
	readonly #random: Random;

	constructor(private readonly options: DemandFleetOptions) {
		this.#random = createRandom(options.seed);
		this.gateways = Array.from({length: options.size}, (_, index) => {
			const totals = new Map<number, TimedTotal>();
			return {
				index,
				totals,
				watch: new DemandWatch({
					countGateways: () => options.size,
					listTotals: () => [...totals.values()],
				}),
				arrivalRate: options.readArrivalRate(index),
				running: [],
				nextPingAt: this.now + this.#random() * pingIntervalMs,
				isAlive: true,
			};
		});
	}

	/** Mean over the live gateways of the relative errors of what they take for the fleet's load, and of the rule that takes the own load times the number of gateways. */
	measureErrors(): {measured: number; replaced: number; worst: number} {
		const actual = this.countRunning();
		const live = this.gateways.filter(({isAlive}) => isAlive);
		const computeError = (running: number) =>
			Math.abs(running - actual) / actual;
		const errors = live.map((gateway) => {
			const {own, fleet} = this.read(gateway);
			return {
				measured: computeError(fleet.running),
				replaced: computeError(own.running * this.gateways.length),
			};
		});
		const measured = errors.map((error) => error.measured);
		return {
			measured: computeMean(measured),
			replaced: computeMean(errors.map((error) => error.replaced)),
			worst: Math.max(...measured),
		};
	}

	read(gateway: SimulatedGateway): FleetLoad {
		return gateway.watch.readFleetLoad(service, this.now);
	}

	/** Counts the calls that run at all live gateways. */
	countRunning(): number {
		let count = 0;
		for (const {running, isAlive} of this.gateways) {
			count += isAlive ? running.length : 0;
		}

		return count;
	}

	/** Stops a gateway; its followed peers learn at once that its connections end. */
	end(gateway: SimulatedGateway, isStopping: boolean): void {
		gateway.isAlive = false;
		for (const index of this.#listFollowed(gateway)) {
			this.gateways[index]?.watch.recordSenderEnd(
				String(gateway.index),
				isStopping,
				this.now,
			);
		}
	}

	/** Lets time pass. */
	advance(durationMs: number): void {
		const endAt = this.now + durationMs;
		while (this.now < endAt) {
			this.now += stepMs;
			const due = this.#messages.filter(({at}) => at <= this.now);
			this.#messages = this.#messages.filter(({at}) => at > this.now);
			for (const {deliver} of due) {
				deliver();
			}

			for (const gateway of this.gateways) {
				if (gateway.isAlive) {
					this.#advanceCalls(gateway);
					this.#sendPings(gateway);
				}
			}
		}
	}

	#advanceCalls(gateway: SimulatedGateway): void {
		const {watch, running, arrivalRate} = gateway;
		const {runMs = 3000} = this.options;
		for (const [position, {call, endAt}] of [
			...running.entries(),
		].toReversed()) {
			if (endAt <= this.now) {
				watch.recordEnd(call, this.now);
				running.splice(position, 1);
			}
		}

		const expected = (arrivalRate * this.demandFactor * stepMs) / 1000;
		const arrivals =
			Math.floor(expected) + (this.#random() < expected % 1 ? 1 : 0);
		for (let count = 0; count < arrivals; count++) {
			const call = buildCall({priority: Math.floor(this.#random() * 3)});
			watch.recordArrival(call, this.now);
			watch.recordAdmission(call, this.now);
			const endAt = this.now - runMs * Math.log(1 - this.#random());
			running.push({call, endAt});
		}
	}

	#listFollowed(gateway: SimulatedGateway): readonly number[] {
		const {isConnected = () => true, listFollowed} = this.options;
		return (
			listFollowed?.(gateway.index) ??
			this.gateways
				.filter(
					({index, isAlive}) =>
						isAlive &&
						index !== gateway.index &&
						isConnected(gateway.index, index),
				)
				.slice(0, maxFollowedPeers)
				.map(({index}) => index)
		);
	}

	#sendPings(gateway: SimulatedGateway): void {
		if (this.now < gateway.nextPingAt) {
			return;
		}

		gateway.nextPingAt += pingIntervalMs;
		const beatAt = this.now;
		const demand = gateway.watch.buildSums(beatAt);
		const ping = pingSchema.parse({beatAt, demand});
		for (const index of this.#listFollowed(gateway)) {
			this.#send(() => {
				this.#acceptPing(gateway, index, ping);
			});
		}
	}

	#acceptPing(
		from: SimulatedGateway,
		index: number,
		{beatAt, demand}: ReturnType<typeof pingSchema.parse>,
	): void {
		const peer = this.gateways[index];
		if (!peer?.isAlive || !demand) {
			return;
		}

		peer.watch.acceptSums(String(from.index), demand, this.now);
		const ping = {beatAt, arrivedAt: this.now};
		const update = peerUpdateSchema.parse({
			...buildPeerUpdate(emptyState, emptyState, ping, this.now),
			demand: peer.watch.buildTotal(this.now),
		});
		this.#send(() => {
			const {demand: total} = applyPeerUpdate(emptyState, update);
			if (total) {
				from.totals.set(index, total);
			}
		});
	}

	#send(deliver: () => void): void {
		this.#messages.push({at: this.now + this.options.transitMs, deliver});
	}
}

const computeMean = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
};

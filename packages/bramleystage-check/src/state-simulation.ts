/**
 * Gateways that follow the configuration in virtual time, with random troubles, and the
 * check of what callers rely on: each version is in force in time at each gateway that
 * could have got it, a version never gives way to an older one, and the store's rate
 * of reads is kept.
 */
import {
	type GatewayEvent,
	memberMs,
	SimulatedGateway,
} from './simulated-gateway.js';
import {SimulatedHosts} from './simulated-host.js';
import {SimulatedNetwork} from './simulated-network.js';
import {SimulatedStore} from './simulated-store.js';
import {createDraw, type StateCase, trafficFromMs} from './state-cases.js';
import {startTrouble} from './state-troubles.js';
import {TroubleHistory} from './trouble-history.js';

/** Calls that all gateways together may make in a second. */
const maxCallsPerSecond = 2000;
const checkIntervalMs = 100;
const maxStartMs = 300;

export type StateReport = {
	/** What was violated, a line each. */
	readonly violations: readonly string[];
	/** Longest time from a version's acknowledgement to its being in force at a gateway that the bound holds for, in milliseconds. */
	readonly longestMs: number;
	readonly events: ReadonlyMap<string, readonly GatewayEvent[]>;
};

export const toAddress = (index: number) =>
	`10.0.${Math.floor(index / 200)}.${index % 200}:7340`;

/** Runs a case to its end. */
export async function runStateCase(stateCase: StateCase): Promise<StateReport> {
	const {seed, gateways: count, troubles, endMs, inForceMs} = stateCase;
	const draw = createDraw(seed + 1);
	const hosts = new SimulatedHosts();
	const network = new SimulatedNetwork(hosts, draw);
	const store = new SimulatedStore(network, memberMs);
	const violations: string[] = [];
	const events = new Map<string, GatewayEvent[]>();
	const acknowledgedAt: Array<{version: number; at: number}> = [];
	let longestMs = 0;
	const history = new TroubleHistory(count);
	const addresses = Array.from({length: count}, (_, index) => toAddress(index));
	const gateways = addresses.map((address, index) => {
		let newest = -1;
		const gateway = new SimulatedGateway({
			address,
			seeds: addresses.slice(0, 3),
			network,
			store,
			draw,
			recordVersion(version) {
				if (version < newest && gateway.process === process) {
					violations.push(
						`${hosts.now}: ${address} went from ${newest} to ${version}`,
					);
				}

				process = gateway.process;
				newest = version;
				const acknowledged = acknowledgedAt.find(
					(each) => each.version === version,
				);
				if (acknowledged && history.isBound(index, hosts.now)) {
					longestMs = Math.max(longestMs, hosts.now - acknowledged.at);
				}
			},
			recordEvent(event) {
				events.set(address, [...(events.get(address) ?? []), event]);
			},
		});
		let {process} = gateway;
		return gateway;
	});
	store.write(1, 0);
	for (const [index, gateway] of gateways.entries()) {
		const startMs = draw() * maxStartMs;
		history.recordTrouble(index, 0, startMs);
		hosts.schedule(undefined, startMs, () => {
			gateway.start();
		});
	}

	const writeVersion = (version: number) => {
		store.write(version, draw() * stateCase.maxTransferMs);
		acknowledgedAt.push({version, at: hosts.now});
		if (hosts.now < endMs - inForceMs) {
			hosts.schedule(undefined, stateCase.changeIntervalMs, () => {
				writeVersion(version + 1);
			});
		}
	};

	hosts.schedule(undefined, trafficFromMs, () => {
		writeVersion(2);
	});
	for (const trouble of troubles) {
		hosts.schedule(undefined, trouble.at, () => {
			startTrouble(trouble, {gateways, network, store, history, draw});
		});
	}

	const reported = new Set<string>();
	const check = () => {
		const due = acknowledgedAt.findLast(({at}) => at < hosts.now - inForceMs);
		for (const [index, gateway] of gateways.entries()) {
			const key = `${index}/${due?.version}`;
			if (
				due &&
				gateway.isRunning &&
				gateway.version < due.version &&
				history.isBound(index, hosts.now) &&
				!reported.has(key)
			) {
				reported.add(key);
				violations.push(
					`${Math.round(hosts.now)}: ${gateway.address} has ${gateway.version}, ${due.version} was acknowledged at ${Math.round(due.at)}`,
				);
			}
		}

		hosts.schedule(undefined, checkIntervalMs, check);
	};

	hosts.schedule(undefined, trafficFromMs, check);
	await hosts.run(endMs);
	for (const [second, calls] of store.callCounts) {
		if (calls > maxCallsPerSecond) {
			violations.push(`${calls} calls in second ${second}`);
		}
	}

	return {violations, longestMs, events};
}

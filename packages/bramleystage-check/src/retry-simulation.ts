/**
 * The retry budget of gateways that run, end and start in virtual time. Callers send requests
 * to the gateways that run, servers fail a share of what they get, and each gateway repeats
 * as its budget allows. What arrives at servers is counted here, not by the gateways.
 */
import {toServiceName} from 'bramleystage';
import {RequestArrivals} from 'bramleystage-gateway';
import type {RetryCase} from './retry-cases.js';
import {memberMs, SimulatedGateway} from './simulated-gateway.js';
import {SimulatedHosts} from './simulated-host.js';
import {SimulatedNetwork} from './simulated-network.js';
import {SimulatedStore} from './simulated-store.js';
import {createDraw, trafficFromMs} from './state-cases.js';
import {toAddress} from './state-simulation.js';
import {startTrouble} from './state-troubles.js';
import {TroubleHistory} from './trouble-history.js';

const service = toServiceName('desk');
/** Time between two steps of the callers, in milliseconds. */
const stepMs = 50;
const maxAttempts = 5;
const maxStartMs = 300;

export type RetryReport = {
	/** Most repeats beyond those allowed in a window; negative if the rule was kept in all. */
	readonly worstExcess: number;
	/** End of that window, in milliseconds. */
	readonly worstAt: number;
	/** Largest sum of the shares of all running gateways. */
	readonly largestShares: number;
	/** Largest part of the allowed repeats that any window used. */
	readonly largestUse: number;
	/** Part of the allowed repeats that the last window before the end used. */
	readonly lastUse: number;
};

/** Counts in each step of the callers. */
type Counts = {readonly requests: number[]; readonly repeats: number[]};

/** Runs a case to its end. */
export async function runRetryCase(retryCase: RetryCase): Promise<RetryReport> {
	const {seed, gateways: count, joinsAt, retries, troubles, endMs} = retryCase;
	const draw = createDraw(seed + 1);
	const hosts = new SimulatedHosts();
	const network = new SimulatedNetwork(hosts, draw);
	const store = new SimulatedStore(network, memberMs);
	const addresses = Array.from({length: count}, (_, index) => toAddress(index));
	const gateways = addresses.map(
		(address) =>
			new SimulatedGateway({
				address,
				seeds: addresses.slice(0, 3),
				network,
				store,
				draw,
				retries,
				recordVersion: () => undefined,
				recordEvent: () => undefined,
			}),
	);
	store.write(1, 0);
	const history = new TroubleHistory(count);
	for (const [index, gateway] of gateways.entries()) {
		hosts.schedule(undefined, joinsAt.get(index) ?? draw() * maxStartMs, () => {
			gateway.start();
		});
	}

	const scene = {gateways, network, store, history, draw};
	for (const trouble of troubles) {
		// A gateway that has not joined yet has no trouble.
		const targets = trouble.targets.filter(
			(index) => (joinsAt.get(index) ?? 0) < trouble.at,
		);
		hosts.schedule(undefined, trouble.at, () => {
			startTrouble({...trouble, targets}, scene);
		});
	}

	const counts: Counts = {requests: [], repeats: []};
	let largestShares = 0;
	const step = () => {
		const {now} = hosts;
		const serving = gateways.filter(
			({retryBudget, process}) => retryBudget && process.pausedUntil <= now,
		);
		const shares = gateways
			.filter(({isRunning}) => isRunning)
			.map(({state}) => state?.group.share.describe(now).share ?? 0);
		largestShares = Math.max(
			largestShares,
			shares.reduce((sum, share) => sum + share, 0),
		);
		const sent = Math.floor(
			(retryCase.measureRate(now) * stepMs) / 1000 + draw(),
		);
		let repeats = 0;
		for (let index = 0; index < sent && serving.length > 0; index++) {
			const gateway = serving[Math.floor(draw() * serving.length)]!;
			repeats += sendRequest(
				gateway,
				() => draw() < retryCase.measureFailures(now),
			);
		}

		counts.requests.push(sent);
		counts.repeats.push(repeats);
		hosts.schedule(undefined, stepMs, step);
	};

	const sendRequest = (
		{retryBudget}: SimulatedGateway,
		drawFailure: () => boolean,
	): number => {
		retryBudget?.recordRequest(service);
		const arrivals = new RequestArrivals(() => hosts.now);
		let repeats = 0;
		while (
			drawFailure() &&
			repeats + 1 < maxAttempts &&
			retryBudget?.trySpendRetry(service, arrivals)
		) {
			repeats++;
		}

		arrivals.recordEnd();
		return repeats;
	};

	hosts.schedule(undefined, trafficFromMs, step);
	await hosts.run(endMs);
	return {...checkWindows(counts, retryCase), largestShares};
}

/** Compares the repeats of each window with those that the rule allows there. */
function checkWindows(
	{requests, repeats}: Counts,
	{retries: {retryRatio, retrySlack, retryWindowMs}}: RetryCase,
): Omit<RetryReport, 'largestShares'> {
	const length = retryWindowMs / stepMs;
	const sumWindow = (values: readonly number[], end: number) =>
		values
			.slice(Math.max(0, end - length), Math.max(0, end))
			.reduce((sum, value) => sum + value, 0);
	let [worstExcess, worstAt] = [Number.NEGATIVE_INFINITY, 0];
	let [largestUse, lastUse] = [0, 0];
	for (let end = 1; end <= repeats.length; end++) {
		const counted = Math.max(
			...[0, length / 2, length].map((back) => sumWindow(requests, end - back)),
		);
		const allowed = retryRatio * counted + retrySlack;
		const used = sumWindow(repeats, end);
		if (used - allowed > worstExcess) {
			[worstExcess, worstAt] = [used - allowed, trafficFromMs + end * stepMs];
		}

		lastUse = used / allowed;
		largestUse = Math.max(largestUse, lastUse);
	}

	return {worstExcess, worstAt, largestUse, lastUse};
}

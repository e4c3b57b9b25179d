/**
 * `bench limits`: measures how far limits are exceeded under faults, and how much
 * of a limit is usable when all requests go to one entry. The bound is the limit
 * itself; the baseline is a fixed share of each limit for every entry.
 */
import {type Limit, toLimitKey} from 'bramleystage';
import type {Bench, BenchFlags} from './benches.js';
import {LimitAudit} from './limit-audit.js';
import {LimitSimulation, type SimulatedEntry} from './limit-simulation.js';

const sampleLimits: readonly Limit[] = [
	{
		key: toLimitKey('customer/a/requests_per_second'),
		kind: 'requests_per_second',
		limit: 100,
	},
	{
		key: toLimitKey('customer/b/requests_per_second'),
		kind: 'requests_per_second',
		limit: 7,
	},
	{
		key: toLimitKey('customer/a/tokens_per_second'),
		kind: 'tokens_per_second',
		limit: 20_000,
	},
	{key: toLimitKey('customer/a/concurrent'), kind: 'concurrent', limit: 30},
	{key: toLimitKey('customer/b/concurrent'), kind: 'concurrent', limit: 5},
];

/** Demand in the runs with faults, as a multiple of each limit. */
const faultDemandFactor = 2;
/**
 * Demand that saturates each limit, as a multiple of the limit. It is high enough
 * that a limit stays in full use between two long requests.
 */
const saturatingDemandFactor = 8;
const tokenAmount = 100;
const meanWorkMs = 800;
const settleMs = 15_000;
/** Work under concurrent limits below this one takes `longWorkMs`. */
const smallConcurrentLimit = 10;
const longWorkMs = 12_000;
const longPauseMs = 25_000;
const hostListRemovalMs = 3000;

const createSampleLimits = () =>
	new Map(sampleLimits.map((limit) => [limit.key, limit]));

/** Returns the mean duration of work under a concurrent limit. */
const findMeanWorkMs = ({limit}: Limit) =>
	limit < smallConcurrentLimit ? longWorkMs : meanWorkMs;

/**
 * Sends requests for every limit for a duration. `selectEntry` returns the entry
 * of each request; a request without an entry is not sent.
 */
function startRequests(
	simulation: LimitSimulation,
	selectEntry: () => SimulatedEntry | undefined,
	durationMs: number,
	demandFactor: number,
): void {
	const until = simulation.time.now + durationMs;
	for (const limit of sampleLimits) {
		const amount = limit.kind === 'tokens_per_second' ? tokenAmount : 1;
		const requestsPerSecond =
			limit.kind === 'concurrent'
				? (limit.limit * 1000) / findMeanWorkMs(limit)
				: limit.limit / amount;
		const meanIntervalMs = 1000 / (requestsPerSecond * demandFactor);
		const send = () => {
			const entry = selectEntry();
			if (simulation.time.now >= until) {
				return;
			}

			if (entry) {
				const workMs =
					findMeanWorkMs(limit) * (0.25 + 1.5 * simulation.random());
				simulation.request(entry, limit, amount, workMs);
			}

			simulation.time.schedule(meanIntervalMs * 2 * simulation.random(), send);
		};

		send();
	}
}

/**
 * Runs requests at random entries under random faults. Returns the largest excess
 * over a limit, as a fraction of the limit, and the number of injected faults.
 */
export function runLimitFaults(
	seed: number,
	durationMs: number,
): {maxOver: number; faults: number} {
	const audit = new LimitAudit();
	const simulation = new LimitSimulation(seed, createSampleLimits(), audit);
	for (const name of ['entry-1', 'entry-2', 'entry-3']) {
		simulation.startEntry(name);
	}

	let preferredEntry = 0;
	const selectEntry = () => {
		const live = simulation.liveEntries;
		return simulation.random() < 0.6
			? live[preferredEntry % live.length]
			: live[Math.floor(simulation.random() * live.length)];
	};

	startRequests(simulation, selectEntry, durationMs, faultDemandFactor);
	let faults = 0;
	const injectFault = () => {
		faults++;
		preferredEntry = Math.floor(simulation.random() * 10);
		startFault(simulation);
		simulation.time.schedule(500 + simulation.random() * 6000, injectFault);
	};

	simulation.time.schedule(settleMs, injectFault);
	simulation.time.runUntil(durationMs);
	return {maxOver: audit.maxOver, faults};
}

function startFault(simulation: LimitSimulation): void {
	const {random, time} = simulation;
	const live = simulation.liveEntries;
	const entry = live[Math.floor(random() * live.length)];
	const other = live[Math.floor(random() * live.length)];
	const durationMs = 200 + random() * 20_000;
	if (!entry || !other) {
		return;
	}

	const faults: ReadonlyArray<() => void> = [
		() => {
			simulation.pause(entry, durationMs);
		},
		() => {
			startLongPause(simulation, entry);
		},
		() => {
			simulation.partition(entry.host, other.host, durationMs);
		},
		() => {
			replaceEntry(simulation, entry);
		},
		() => {
			simulation.isLogUnavailable = true;
			time.schedule(durationMs, () => {
				simulation.isLogUnavailable = false;
			});
		},
		() => {
			entry.isPartitionedFromLog = true;
			time.schedule(durationMs, () => {
				entry.isPartitionedFromLog = false;
			});
		},
		() => {
			if (live.length < 5) {
				simulation.startEntry(`entry-${Math.floor(random() * 1000)}`);
			}
		},
	];
	faults[Math.floor(random() * faults.length)]?.();
}

/** Pauses an entry long enough for the platform to remove its host from the host list. */
function startLongPause(
	simulation: LimitSimulation,
	entry: SimulatedEntry,
): void {
	simulation.pause(entry, longPauseMs * (0.5 + simulation.random()));
	simulation.time.schedule(hostListRemovalMs, () => {
		simulation.removeFromHostList(entry);
	});
}

/**
 * Kills an entry, which then leaves the host list. Half of the time, a new
 * incarnation starts on the same host. The last live entry is never killed.
 */
function replaceEntry(
	simulation: LimitSimulation,
	entry: SimulatedEntry,
): void {
	if (simulation.liveEntries.length < 2) {
		return;
	}

	simulation.kill(entry);
	const isSameHostName = simulation.random() < 0.5;
	simulation.time.schedule(3000 * simulation.random(), () => {
		simulation.removeFromHostList(entry);
		if (isSameHostName) {
			simulation.startEntry(entry.host);
		}
	});
}

/**
 * Sends all requests to one of three entries. Returns the lowest utilization of a
 * limit, as a fraction of the limit.
 */
export function measureSingleEntryUse(
	seed: number,
	durationMs: number,
): number {
	const audit = new LimitAudit();
	const simulation = new LimitSimulation(seed, createSampleLimits(), audit);
	const entry = simulation.startEntry('entry-1');
	simulation.startEntry('entry-2');
	simulation.startEntry('entry-3');
	simulation.time.runUntil(settleMs);
	startRequests(simulation, () => entry, durationMs, saturatingDemandFactor);
	simulation.time.runUntil(settleMs + durationMs);
	const utilizations = sampleLimits.map((limit) =>
		audit.measureUtilization(limit, durationMs),
	);
	return Math.min(...utilizations);
}

/** Measures the permit traffic that an entry sends, in bytes per second. */
export function measurePermitTraffic(
	entryCount: number,
	customers: number,
	requestsPerSecond: number,
): number {
	const limits = Array.from({length: customers}, (_, index): Limit => ({
		key: toLimitKey(`customer/c${index}/requests_per_second`),
		kind: 'requests_per_second',
		limit: 5,
	}));
	const simulation = new LimitSimulation(
		1,
		new Map(limits.map((limit) => [limit.key, limit])),
		new LimitAudit(),
	);
	for (let index = 0; index < entryCount; index++) {
		simulation.startEntry(`entry-${index}`);
	}

	simulation.time.runUntil(settleMs);
	simulation.bytesSent = 0;
	const durationMs = 2000;
	const count = (requestsPerSecond * durationMs) / 1000;
	for (let index = 0; index < count; index++) {
		simulation.time.schedule(simulation.random() * durationMs, () => {
			const entry =
				simulation.entries[Math.floor(simulation.random() * entryCount)];
			const limit = limits[Math.floor(simulation.random() * customers)];
			if (entry && limit) {
				simulation.request(entry, limit, 1, 0);
			}
		});
	}

	simulation.time.runUntil(settleMs + durationMs);
	return (simulation.bytesSent * 1000) / durationMs / entryCount;
}

export const limitsBench: Bench = {
	describe: 'Limits over all entries: most over, and least usable',
	async run(flags: BenchFlags) {
		const runs = Number(flags.runs ?? 40);
		const durationMs = Number(flags.duration_ms ?? 240_000);
		let maxOver = 0;
		let faults = 0;
		for (let seed = 1; seed <= runs; seed++) {
			const result = runLimitFaults(seed, durationMs);
			maxOver = Math.max(maxOver, result.maxOver);
			faults += result.faults;
		}

		const usable = measureSingleEntryUse(1, 60_000);
		return {
			max_over: maxOver,
			usable,
			usable_fixed_shares: 1 / 3,
			faults,
			runs,
			control_bytes_per_second_at_40: measurePermitTraffic(40, 2400, 270),
			control_bytes_per_second_at_400: measurePermitTraffic(400, 24_000, 2700),
		};
	},
};

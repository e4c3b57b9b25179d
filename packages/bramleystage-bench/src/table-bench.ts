/**
 * Table bench: operators edit the table concurrently while the log is slow, loses
 * responses, goes silent on open connections, is unreachable for one entry, and
 * is down. It runs two entries and a complete agent for each backend server in
 * one process and observes the table of each.
 */
import {
	agentSettings,
	computeTableDigest,
	createLogger,
	createTable,
	entrySettings,
	foldRecord,
	PlatformClient,
	parseSettings,
	toDataCentreId,
	toHostId,
	waitFor,
} from 'bramleystage';
import {type RunningAgent, startAgent} from 'bramleystage-agent';
import {type RunningEntry, startEntry} from 'bramleystage-entry';
import {registerHost} from 'bramleystage-site';
import {
	defaultPlatformOptions,
	startPlatformStandIn,
	startServiceStandIn,
} from 'bramleystage-stand-ins';
import {build} from 'hdr-histogram-js';
import type {Bench, BenchFlags} from './benches.js';
import {
	openPartitionableLink,
	type FaultWindow,
	runFaultSchedule,
} from './table-faults.js';
import {publishInitialTable, measureFold} from './table-import.js';
import {type PublishedEdit, runOperator} from './table-operators.js';
import {ReadinessSampler} from './readiness-sampler.js';
import {TableObserver} from './table-observer.js';

const operatorCount = 3;
const dataCentres = ['izmir-a', 'izmir-b', 'manisa-c'];
const convergenceTimeoutMs = 5000;
const convergencePollMs = 50;
const warmUpMs = 3000;

const readClock = () => performance.now();

export const tableBench: Bench = {
	describe: 'Edits of the table under faults of the log: time until in force',
	run: runTableBench,
};

async function runTableBench(flags: BenchFlags): Promise<object> {
	const edits = Number(flags.edits ?? 2000);
	const agentCount = Number(flags.agents ?? 46);
	const rows = Number(flags.rows ?? 1000);
	const editIntervalMs = Number(flags.pace ?? 60);
	const platform = await startPlatformStandIn({
		...defaultPlatformOptions,
		hostLagMs: 50,
	});
	await publishInitialTable(platform.address, rows);
	const link = await openPartitionableLink(platform.address);
	const service = await startServiceStandIn({
		address: '127.0.0.1:0',
		name: 'office',
		bookingMs: 1,
	});
	const agents = await startAgents(
		agentCount,
		platform.address,
		service.address,
	);
	const entries = await startEntries([platform.address, link.address]);
	const observers = [...entries, ...agents].map(
		({tables}) => new TableObserver(tables, readClock),
	);
	await waitFor(warmUpMs);
	const runningOperators = Promise.all(
		Array.from({length: operatorCount}, async (_, index) =>
			runOperator({
				platform: platform.address,
				name: `operator-${index}`,
				seed: index + 1,
				edits: Math.ceil(edits / operatorCount),
				rows,
				editIntervalMs,
				readClock,
			}),
		),
	);
	const samplers = entries.map(
		({operatorAddress}) => new ReadinessSampler(operatorAddress, readClock),
	);
	const [results, faultWindows] = await Promise.all([
		runningOperators,
		runFaultSchedule(platform, link, readClock),
	]);
	for (const sampler of samplers) {
		sampler.stop();
	}

	await waitForConvergence(observers);
	const published = results.flatMap((result) => result.published);
	const referenceDigest = await computeLogDigest(platform.address);
	const figures = {
		edits: published.length,
		unknown: results.reduce((sum, {unknown}) => sum + unknown, 0),
		processes: observers.length,
		rows,
		...measurePropagation(published, observers, faultWindows.outage),
		reverts: observers.reduce((sum, {reverts}) => sum + reverts, 0),
		tables_differing: observers.filter(({digest}) => digest !== referenceDigest)
			.length,
		cut_entry_refusing_share: samplers[1]?.computeNotReadyShare(
			faultWindows.partition,
		),
		outage_refusing_share: Math.max(
			...samplers.map((each) => each.computeNotReadyShare(faultWindows.outage)),
		),
		...measureFold(readClock),
	};
	await Promise.all([...entries, ...agents].map(async (each) => each.stop()));
	link.close();
	await service.close();
	await platform.close();
	return figures;
}

async function startAgents(
	count: number,
	platform: string,
	service: string,
): Promise<RunningAgent[]> {
	return Promise.all(
		Array.from({length: count}, async (_, index) => {
			const host = toHostId(`agent-${index}`);
			const dataCentre = toDataCentreId(
				dataCentres[index % dataCentres.length] ?? '',
			);
			const settings = parseSettings(agentSettings, {
				host,
				dataCentre,
				platform,
				service: `http://${service}`,
				serviceName: 'office',
			})._unsafeUnwrap();
			const agent = await startAgent(settings, createLogger('error', {}));
			const {address} = agent;
			await registerHost(platform, {host, role: 'agent', dataCentre, address});
			return agent;
		}),
	);
}

async function startEntries(
	platforms: readonly string[],
): Promise<RunningEntry[]> {
	return Promise.all(
		platforms.map(async (platform, index) => {
			const settings = parseSettings(entrySettings, {
				host: `entry-${index}`,
				dataCentre: dataCentres[index],
				platform,
			})._unsafeUnwrap();
			return startEntry(settings, createLogger('error', {}));
		}),
	);
}

async function waitForConvergence(
	observers: readonly TableObserver[],
): Promise<void> {
	const until = readClock() + convergenceTimeoutMs;
	while (
		readClock() < until &&
		new Set(observers.map(({next}) => next)).size > 1
	) {
		// eslint-disable-next-line no-await-in-loop -- polls until equal
		await waitFor(convergencePollMs);
	}
}

/** Computes the digest of the table that results from folding the complete log. */
async function computeLogDigest(address: string): Promise<string> {
	const platform = new PlatformClient(address);
	let table = createTable();
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- each read starts where the last ended
		const batch = await platform.readRecords('table', table.next);
		if (batch.isErr() || batch.value.records.length === 0) {
			return computeTableDigest(table);
		}

		for (const {offset, value} of batch.value.records) {
			({table} = foldRecord(table, offset, value));
		}
	}
}

/**
 * Measures how long accepted edits take to reach every process: from the first
 * process that applied the edit, or the confirmation to its author if that came
 * earlier, to the last process that applied it.
 */
function measurePropagation(
	published: readonly PublishedEdit[],
	observers: readonly TableObserver[],
	outage: FaultWindow,
): Record<string, number> {
	const propagationMs = build();
	let maxInOutageMs = 0;
	let accepted = 0;
	let refused = 0;
	let notPropagated = 0;
	for (const {result, confirmedAt} of published) {
		if (result.accepted.length === 0) {
			refused++;
			continue;
		}

		accepted++;
		const appliedAt = observers.map((observer) =>
			observer.findAppliedAt(result.offset),
		);
		const from = Math.min(confirmedAt, ...appliedAt);
		const until = Math.max(...appliedAt);
		if (!Number.isFinite(until)) {
			notPropagated++;
		} else if (until >= outage.from && from <= outage.until) {
			maxInOutageMs = Math.max(maxInOutageMs, until - from);
		} else {
			propagationMs.recordValue(Math.max(1, Math.round(until - from)));
		}
	}

	return {
		accepted,
		refused,
		accepted_not_in_force: notPropagated,
		in_force_ms_p50: propagationMs.getValueAtPercentile(50),
		in_force_ms_p95: propagationMs.getValueAtPercentile(95),
		in_force_ms_max: propagationMs.maxValue,
		in_force_ms_max_in_outage: Math.round(maxInOutageMs),
	};
}

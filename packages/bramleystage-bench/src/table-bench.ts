/**
 * The table bench: operators edit at once while the log is slow, loses
 * answers, goes silent on open connections, is cut off from one entry, and is
 * out. It runs two entries and a full agent for each backend server in one
 * process and watches the table of each.
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
	startPlatform,
	startService,
} from 'bramleystage-stand-ins';
import {build} from 'hdr-histogram-js';
import type {Bench, BenchFlags} from './benches.js';
import {openCuttableLink, type FaultWindow, runFaults} from './table-faults.js';
import {publishTable, measureFold} from './table-import.js';
import {type PublishedEdit, runOperator} from './table-operators.js';
import {ReadinessSampler} from './table-readiness.js';
import {TableWatch} from './table-watch.js';

const operatorCount = 3;
const centres = ['izmir-a', 'izmir-b', 'manisa-c'];
const settleMs = 5000;
const settleStepMs = 50;
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
	const paceMs = Number(flags.pace ?? 60);
	const platform = await startPlatform({
		...defaultPlatformOptions,
		hostLagMs: 50,
	});
	await publishTable(platform.address, rows);
	const link = await openCuttableLink(platform.address);
	const service = await startService({
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
	const watches = [...entries, ...agents].map(
		({tables}) => new TableWatch(tables, readClock),
	);
	await waitFor(warmUpMs);
	const working = Promise.all(
		Array.from({length: operatorCount}, async (_, index) =>
			runOperator({
				platform: platform.address,
				name: `operator-${index}`,
				seed: index + 1,
				edits: Math.ceil(edits / operatorCount),
				rows,
				paceMs,
				readClock,
			}),
		),
	);
	const samplers = entries.map(
		({operatorAddress}) => new ReadinessSampler(operatorAddress, readClock),
	);
	const [results, windows] = await Promise.all([
		working,
		runFaults(platform, link, readClock),
	]);
	for (const sampler of samplers) {
		sampler.stop();
	}

	await waitForSame(watches);
	const published = results.flatMap((result) => result.published);
	const reference = await foldWholeLog(platform.address);
	const figures = {
		edits: published.length,
		unknown: results.reduce((sum, {unknown}) => sum + unknown, 0),
		processes: watches.length,
		rows,
		...measureInForce(published, watches, windows.outage),
		reverts: watches.reduce((sum, {reverts}) => sum + reverts, 0),
		tables_differing: watches.filter(({digest}) => digest !== reference).length,
		cut_entry_refusing_share: samplers[1]?.computeRefusingShare(windows.cut),
		outage_refusing_share: Math.max(
			...samplers.map((each) => each.computeRefusingShare(windows.outage)),
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
			const dataCentre = toDataCentreId(centres[index % centres.length] ?? '');
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
				dataCentre: centres[index],
				platform,
			})._unsafeUnwrap();
			return startEntry(settings, createLogger('error', {}));
		}),
	);
}

async function waitForSame(watches: readonly TableWatch[]): Promise<void> {
	const until = readClock() + settleMs;
	while (
		readClock() < until &&
		new Set(watches.map(({next}) => next)).size > 1
	) {
		// eslint-disable-next-line no-await-in-loop -- polls until equal
		await waitFor(settleStepMs);
	}
}

/** Digest of the table that the whole log folds to. */
async function foldWholeLog(address: string): Promise<string> {
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

/** Time from the first process that had an accepted edit, or from its author's word, to the last. */
function measureInForce(
	published: readonly PublishedEdit[],
	watches: readonly TableWatch[],
	outage: FaultWindow,
): Record<string, number> {
	const outside = build();
	let worstInOutage = 0;
	let accepted = 0;
	let refused = 0;
	let notInForce = 0;
	for (const {result, toldAt} of published) {
		if (result.accepted.length === 0) {
			refused++;
			continue;
		}

		accepted++;
		const times = watches.map((watch) => watch.findReached(result.offset));
		const from = Math.min(toldAt, ...times);
		const until = Math.max(...times);
		if (!Number.isFinite(until)) {
			notInForce++;
		} else if (until >= outage.from && from <= outage.until) {
			worstInOutage = Math.max(worstInOutage, until - from);
		} else {
			outside.recordValue(Math.max(1, Math.round(until - from)));
		}
	}

	return {
		accepted,
		refused,
		accepted_not_in_force: notInForce,
		in_force_ms_p50: outside.getValueAtPercentile(50),
		in_force_ms_p95: outside.getValueAtPercentile(95),
		in_force_ms_max: outside.maxValue,
		in_force_ms_max_in_outage: Math.round(worstInOutage),
	};
}

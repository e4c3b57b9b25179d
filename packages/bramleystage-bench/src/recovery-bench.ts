/**
 * Recovery bench: time from the death of a stage, and from a connection going
 * silent, to the callers' next token. A sample is that of the slowest stream
 * of one fault. The baseline entry starts an answer over on another pipeline.
 */
import process from 'node:process';
import {type RunningEntry, startEntry} from 'bramleystage-entry';
import {type RecoveryMode, waitFor} from 'bramleystage';
import {formatSampleKey} from 'bramleystage-site';
import {type BenchFlags} from './benches.js';
import {type RecoveryHost, RecoverySite} from './recovery-site.js';
import {type ActiveStream, StreamCallers} from './stream-caller.js';

/** One kind of fault: brings it about, and gives false if nothing was hit. */
type Fault = {
	readonly name: string;
	readonly kind: 'death' | 'silence';
	/** Only the last stage's connection carries tokens to the entry. */
	readonly needsLast?: boolean;
	readonly start: (host: RecoveryHost) => boolean;
};

const minWatchMs = 250;
/** A stream has recovered when its last token is younger than this. */
const recoveredMs = 150;
const maxWatchMs = 10_000;
const settleMs = 100;
const watchStepMs = 5;
const maxTokens = 200;

const faults: readonly Fault[] = [
	{
		name: 'agent killed',
		kind: 'death',
		start(host) {
			host.agentRelay.update('');
			host.agent?.kill();
			host.agent = undefined;
			return true;
		},
	},
	{
		name: 'entry to agent silent',
		kind: 'silence',
		needsLast: true,
		start: ({agentRelay}) => agentRelay.silence(isFromEntry) > 0,
	},
	{
		name: 'engine killed',
		kind: 'death',
		start(host) {
			host.engineRelay.update('');
			host.engine?.kill();
			host.engine = undefined;
			return true;
		},
	},
	{
		name: 'agent to agent silent',
		kind: 'silence',
		start: ({agentRelay}) =>
			agentRelay.silence((bytes) => !isFromEntry(bytes)) > 0,
	},
	{
		name: 'agent to engine silent',
		kind: 'silence',
		start: ({engineRelay}) => engineRelay.silence() > 0,
	},
];

const isFromEntry = (bytes: Buffer) => bytes.includes('entry');

/** Runs the bench. Flags: `faults`, `baseline` (faults), `callers`, `only`. */
export async function runRecoveryBench(flags: BenchFlags): Promise<object> {
	const site = new RecoverySite();
	try {
		await site.start();
		return await measureSite(site, flags);
	} catch (error) {
		process.stderr.write(`${(error as Error).message}\n`);
		throw error;
	} finally {
		await site.stop();
	}
}

async function measureSite(
	site: RecoverySite,
	flags: BenchFlags,
): Promise<object> {
	const count = Number(flags.faults ?? 200);
	const callers = Number(flags.callers ?? 8);
	const chosen = faults.filter(({name}) => name.includes(flags.only ?? ''));
	const entry = await site.startEntry('entry-1', startEntry);
	const measured = await measureFaults(site, entry, {
		count,
		callers,
		faults: chosen,
	});
	const baseline = await measureRecovery(site, flags, 'startOver');
	const resume = await measureRecovery(site, flags, 'resume');
	const {counts, samples} = measured;
	return {
		...describeSamples('death', samples.death),
		...describeSamples('silence', samples.silence),
		...describeSamples('baseline', baseline),
		...describeSamples('resume', resume),
		faults: samples.death.length + samples.silence.length,
		lost: counts.lost,
		doubled: counts.doubled,
		told_wrongly: counts.toldWrongly,
		whole: counts.whole,
		failures: Object.fromEntries(counts.failures),
		by_fault: Object.fromEntries(
			[...measured.byFault].map(([name, values]) => [name, describe(values)]),
		),
	};
}

/** Measures deaths with an entry that recovers in another way. */
async function measureRecovery(
	site: RecoverySite,
	flags: BenchFlags,
	recovery: RecoveryMode,
): Promise<readonly number[]> {
	const entry = await site.startEntry(
		`entry-${recovery}`,
		async (settings, logger) => startEntry(settings, logger, recovery),
	);
	const {samples} = await measureFaults(site, entry, {
		count: Number(flags.baseline ?? 20),
		callers: Number(flags.callers ?? 8),
		faults: faults.filter(({kind}) => kind === 'death'),
	});
	return samples.death;
}

async function measureFaults(
	site: RecoverySite,
	entry: RunningEntry,
	plan: {count: number; callers: number; faults: readonly Fault[]},
) {
	const {deployment} = site;
	const callers = new StreamCallers({
		url: `http://${entry.address}`,
		key: formatSampleKey(deployment.customers[0] ?? ''),
		model: deployment.model,
		layers: deployment.layers,
		maxTokens,
	});
	callers.start(plan.callers);
	const samples = {death: [] as number[], silence: [] as number[]};
	const byFault = new Map<string, number[]>();
	/* eslint-disable no-await-in-loop -- one fault at a time */
	for (let index = 0; index < plan.count; index++) {
		await waitFor(settleMs);
		const fault = plan.faults[index % plan.faults.length];
		const open = await site.listBusyHosts();
		const busy = open.filter(
			(each) => !fault?.needsLast || each.toLayer === deployment.layers,
		);
		const host = busy[Math.floor(index / plan.faults.length) % busy.length];
		if (!fault || !host) {
			continue;
		}

		const sample = await measureFault(callers, () => fault.start(host));
		if (sample !== undefined && sample > 5000) {
			process.stderr.write(await site.describe(entry));
		}

		if (sample !== undefined) {
			samples[fault.kind].push(sample);
			byFault.set(fault.name, [...(byFault.get(fault.name) ?? []), sample]);
		}

		process.stderr.write(
			`time=${Math.round(performance.now())} host=${host.host} fault=${index + 1} kind="${fault.name}" ms=${Math.round(sample ?? -1)} lost=${callers.counts.lost} failures=${JSON.stringify([...callers.counts.failures])}\n`,
		);
		await site.restore(host);
		await site.waitForReady(entry);
	}

	/* eslint-enable no-await-in-loop */
	await callers.stop();
	return {samples, byFault, counts: callers.counts};
}

/** Gives the time from the fault to the next token of the slowest stream. */
async function measureFault(
	callers: StreamCallers,
	start: () => boolean,
): Promise<number | undefined> {
	const streams = [...callers.active];
	const at = performance.now();
	for (const stream of streams) {
		stream.longest = {from: at, to: at};
		stream.lastTokenAt = at;
	}

	if (!start()) {
		return undefined;
	}

	const isRecovered = (stream: ActiveStream) =>
		stream.isEnded || performance.now() - stream.lastTokenAt < recoveredMs;
	await waitFor(minWatchMs);
	while (
		!streams.every((stream) => isRecovered(stream)) &&
		performance.now() - at < maxWatchMs
	) {
		// eslint-disable-next-line no-await-in-loop -- polls until recovered
		await waitFor(watchStepMs);
	}

	// A stream that has had no token by now has waited until now at least.
	return Math.max(
		0,
		...streams.map((stream) =>
			isRecovered(stream) ? stream.longest.to - at : performance.now() - at,
		),
	);
}

function describeSamples(
	name: string,
	samples: readonly number[],
): Record<string, number | null> {
	const {p50, p95, max} = describe(samples);
	return {
		[`${name}_ms_p50`]: p50,
		[`${name}_ms_p95`]: p95,
		[`${name}_ms_max`]: max,
	};
}

function describe(samples: readonly number[]) {
	const sorted = samples.toSorted((a, b) => a - b);
	const pick = (share: number) =>
		sorted.length > 0
			? Math.round(
					sorted[
						Math.min(sorted.length - 1, Math.floor(share * sorted.length))
					] ?? 0,
				)
			: null;
	return {count: sorted.length, p50: pick(0.5), p95: pick(0.95), max: pick(1)};
}

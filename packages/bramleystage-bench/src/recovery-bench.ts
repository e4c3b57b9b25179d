/**
 * Recovery bench: time from the death of a stage process, or from a connection
 * that goes silent, to the callers' next token. Each sample is the recovery time
 * of the slowest stream during one fault. The baseline entry restarts an answer
 * from scratch on another pipeline.
 */
import process from 'node:process';
import {type RunningEntry, startEntry} from 'bramleystage-entry';
import {type RecoveryMode, waitFor} from 'bramleystage';
import {formatSampleApiKey} from 'bramleystage-site';
import {type BenchFlags} from './benches.js';
import {type RecoveryHost, RecoverySite} from './recovery-site.js';
import {type ActiveStream, StreamCallers} from './stream-caller.js';

/** One kind of fault. */
type Fault = {
	readonly name: string;
	readonly kind: 'death' | 'silence';
	/** Restricts the fault to hosts of the last stage; only their connections carry tokens to the entry. */
	readonly needsLastStage?: boolean;
	/** Injects the fault; returns false if there was nothing to disrupt. */
	readonly inject: (host: RecoveryHost) => boolean;
};

const minObservationMs = 250;
/** A stream counts as recovered if its last token arrived within this time. */
const recoveredTokenAgeMs = 150;
const maxObservationMs = 10_000;
const delayBeforeFaultMs = 100;
const pollIntervalMs = 5;
const maxTokens = 200;

const faults: readonly Fault[] = [
	{
		name: 'agent killed',
		kind: 'death',
		inject(host) {
			host.agentRelay.setTarget('');
			host.agent?.kill();
			host.agent = undefined;
			return true;
		},
	},
	{
		name: 'entry to agent silent',
		kind: 'silence',
		needsLastStage: true,
		inject: ({agentRelay}) => agentRelay.silence(isFromEntry) > 0,
	},
	{
		name: 'engine killed',
		kind: 'death',
		inject(host) {
			host.engineRelay.setTarget('');
			host.engine?.kill();
			host.engine = undefined;
			return true;
		},
	},
	{
		name: 'agent to agent silent',
		kind: 'silence',
		inject: ({agentRelay}) =>
			agentRelay.silence((bytes) => !isFromEntry(bytes)) > 0,
	},
	{
		name: 'agent to engine silent',
		kind: 'silence',
		inject: ({engineRelay}) => engineRelay.silence() > 0,
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
	const selectedFaults = faults.filter(({name}) =>
		name.includes(flags.only ?? ''),
	);
	const entry = await site.startEntry('entry-1', startEntry);
	const measured = await measureFaults(site, entry, {
		count,
		callers,
		faults: selectedFaults,
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
		doubled: counts.mismatched,
		told_wrongly: counts.wrongNotRun,
		whole: counts.complete,
		failures: Object.fromEntries(counts.failures),
		by_fault: Object.fromEntries(
			[...measured.byFault].map(([name, values]) => [name, describe(values)]),
		),
	};
}

/** Measures process deaths with an entry that uses another recovery mode. */
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
		key: formatSampleApiKey(deployment.customers[0] ?? ''),
		model: deployment.model,
		layers: deployment.layers,
		maxTokens,
	});
	callers.start(plan.callers);
	const samples = {death: [] as number[], silence: [] as number[]};
	const byFault = new Map<string, number[]>();
	/* eslint-disable no-await-in-loop -- one fault at a time */
	for (let index = 0; index < plan.count; index++) {
		await waitFor(delayBeforeFaultMs);
		const fault = plan.faults[index % plan.faults.length];
		const busyHosts = await site.listBusyHosts();
		const candidates = busyHosts.filter(
			(each) => !fault?.needsLastStage || each.toLayer === deployment.layers,
		);
		const host =
			candidates[Math.floor(index / plan.faults.length) % candidates.length];
		if (!fault || !host) {
			continue;
		}

		const sample = await measureFault(callers, () => fault.inject(host));
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

/**
 * Injects a fault and returns the time until the next token of the slowest stream,
 * in milliseconds; undefined if the fault disrupted nothing.
 */
async function measureFault(
	callers: StreamCallers,
	inject: () => boolean,
): Promise<number | undefined> {
	const streams = [...callers.active];
	const injectedAt = performance.now();
	for (const stream of streams) {
		stream.longestGap = {from: injectedAt, to: injectedAt};
		stream.lastTokenAt = injectedAt;
	}

	if (!inject()) {
		return undefined;
	}

	const isRecovered = (stream: ActiveStream) =>
		stream.isEnded ||
		performance.now() - stream.lastTokenAt < recoveredTokenAgeMs;
	await waitFor(minObservationMs);
	while (
		!streams.every((stream) => isRecovered(stream)) &&
		performance.now() - injectedAt < maxObservationMs
	) {
		// eslint-disable-next-line no-await-in-loop -- polls until recovered
		await waitFor(pollIntervalMs);
	}

	// A stream without a recent token is still waiting, so its wait lasts at least until now.
	return Math.max(
		0,
		...streams.map((stream) =>
			isRecovered(stream)
				? stream.longestGap.to - injectedAt
				: performance.now() - injectedAt,
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
	const findPercentile = (share: number) =>
		sorted.length > 0
			? Math.round(
					sorted[
						Math.min(sorted.length - 1, Math.floor(share * sorted.length))
					] ?? 0,
				)
			: null;
	return {
		count: sorted.length,
		p50: findPercentile(0.5),
		p95: findPercentile(0.95),
		max: findPercentile(1),
	};
}

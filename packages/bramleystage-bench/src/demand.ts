/**
 * Open-loop load of customers on simulated entries. Each entry uses the
 * production admission controller and router; latencies and token counts are
 * recorded as the callers see them.
 */
import {
	AdmissionController,
	type DrawIndex,
	defaultAdmissionTargets,
	type Random,
	toCustomerId,
} from 'bramleystage';
import {Router} from 'bramleystage-entry';
import type {VirtualClock} from 'bramleystage-stand-ins';
import {benchLayers} from './bench-fleet.js';
import {benchModel, type SimulatedSite} from './simulated-site.js';

export type Shape = {
	readonly promptTokens: number;
	readonly answerTokens: number;
};

/** Load that one customer sends. */
export type Demand = {
	readonly customer: string;
	readonly weight: number;
	/** Requested tokens per second, of prompts and answers together. */
	readonly tokensPerSecond: number;
	/** Fraction of the requests that each entry receives; the fractions sum to 1. */
	readonly entryShares: readonly number[];
	readonly shapes: readonly Shape[];
};

/** Results of one customer after the warm-up, as seen by its callers. */
export type CustomerResults = {
	readonly firstTokenMs: number[];
	readonly gapMs: number[];
	/** Tokens of prompts and answers, counted as answer tokens arrive. */
	tokens: number;
	/**
	 * Tokens of the requests whose answer was complete and met the targets for the
	 * first token and the mean token gap.
	 */
	goodTokens: number;
	refused: number;
	accepted: number;
};

export type DemandOptions = {
	readonly time: VirtualClock;
	readonly site: SimulatedSite;
	readonly demands: readonly Demand[];
	readonly random: Random;
	readonly entryCount: number;
	/** Virtual time from which results are recorded, in milliseconds. */
	readonly recordFromMs: number;
};

const reportIntervalMs = 250;
const msPerSecond = 1000;
const deadlineMs = 10_000;
const goodFirstTokenMs = 1200;
const goodMeanGapMs = 62;

type Entry = {readonly router: Router; readonly admission: AdmissionController};

/** Starts the load. The returned results grow as virtual time advances. */
export function startDemand(
	options: DemandOptions,
): Map<string, CustomerResults> {
	const entries = createEntries(options);
	const resultsByCustomer = new Map<string, CustomerResults>();
	for (const demand of options.demands) {
		const results = createResults();
		resultsByCustomer.set(demand.customer, results);
		startCustomer(options, entries, demand, results);
	}

	return resultsByCustomer;
}

const createResults = (): CustomerResults => ({
	firstTokenMs: [],
	gapMs: [],
	tokens: 0,
	goodTokens: 0,
	refused: 0,
	accepted: 0,
});

function createEntries({
	site,
	entryCount,
	random,
}: DemandOptions): readonly Entry[] {
	const drawIndex: DrawIndex = (bound) => Math.floor(random() * bound);
	return Array.from({length: entryCount}, (_, index) => {
		const router = new Router({drawIndex, candidatesPerRange: 4});
		const delayMs = (index * reportIntervalMs) / entryCount;
		site.startLoadReports(reportIntervalMs, delayMs, (host) => {
			router.recordReport(host, host.reportedAt);
		});
		return {
			router,
			admission: new AdmissionController(defaultAdmissionTargets),
		};
	});
}

function startCustomer(
	options: DemandOptions,
	entries: readonly Entry[],
	demand: Demand,
	results: CustomerResults,
): void {
	const {time, random} = options;
	const {shapes, tokensPerSecond} = demand;
	const tokenCounts = shapes.map(
		({promptTokens, answerTokens}) => promptTokens + answerTokens,
	);
	const meanTokens =
		tokenCounts.reduce((sum, size) => sum + size, 0) / tokenCounts.length;
	const meanIntervalMs = (meanTokens * msPerSecond) / tokensPerSecond;
	const sendAndScheduleNext = () => {
		const entry = selectEntry(entries, demand.entryShares, random());
		const shape = shapes[Math.floor(random() * shapes.length)]!;
		sendRequest(options, entry, {demand, shape, results});
		time.schedule(
			-Math.log(1 - random()) * meanIntervalMs,
			sendAndScheduleNext,
		);
	};

	time.schedule(random() * meanIntervalMs, sendAndScheduleNext);
}

function selectEntry(
	entries: readonly Entry[],
	entryShares: readonly number[],
	draw: number,
): Entry {
	let cumulativeShare = 0;
	for (const [index, share] of entryShares.entries()) {
		cumulativeShare += share;
		if (draw < cumulativeShare) {
			return entries[index]!;
		}
	}

	return entries.at(-1)!;
}

type RequestContext = {
	readonly demand: Demand;
	readonly shape: Shape;
	readonly results: CustomerResults;
};

function sendRequest(
	{time, site, recordFromMs}: DemandOptions,
	{router, admission}: Entry,
	{demand, shape, results}: RequestContext,
): void {
	const startedAt = time.now;
	const isMeasuring = () => time.now >= recordFromMs;
	const customer = toCustomerId(demand.customer);
	const {weight} = demand;
	const work = shape.promptTokens + shape.answerTokens;
	const request = {customer, weight, work, deadlineMs, ...shape};
	if (admission.admit(request, startedAt).isErr()) {
		results.refused += isMeasuring() ? 1 : 0;
		return;
	}

	results.accepted += isMeasuring() ? 1 : 0;
	const model = {model: benchModel, version: '1', layers: benchLayers};
	const stages = router
		.chooseStages(site.hosts, {...model, ...shape}, [], startedAt)
		._unsafeUnwrap();
	let lastTokenAt: number | undefined;
	let firstTokenMs = 0;
	const onToken = (isLast: boolean) => {
		const {now} = time;
		if (lastTokenAt === undefined) {
			firstTokenMs = now - startedAt;
			admission.recordFirstToken(request, firstTokenMs, now);
		} else {
			admission.recordTokenGap(customer, now - lastTokenAt, now);
		}

		if (isMeasuring()) {
			results.tokens += lastTokenAt === undefined ? shape.promptTokens : 1;
			(lastTokenAt === undefined ? results.firstTokenMs : results.gapMs).push(
				now - (lastTokenAt ?? startedAt),
			);
		}

		lastTokenAt = now;
		if (isLast) {
			admission.recordEnd(request, now);
			const meanGapMs =
				(now - startedAt - firstTokenMs) / Math.max(1, shape.answerTokens - 1);
			const isGood =
				firstTokenMs <= goodFirstTokenMs && meanGapMs <= goodMeanGapMs;
			results.goodTokens += isMeasuring() && isGood ? work : 0;
		}
	};

	site.run(
		{...shape, customer: demand.customer, weight, priority: 5, onToken},
		stages,
	);
}

/**
 * Returns the percentile at a fraction between 0 and 1, in the unit of the values;
 * 0 if there are none.
 */
export function findPercentile(
	values: readonly number[],
	fraction: number,
): number {
	const sorted = Float64Array.from(values).toSorted();
	return (
		sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ??
		0
	);
}

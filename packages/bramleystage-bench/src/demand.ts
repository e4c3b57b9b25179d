/**
 * Open-loop demand of customers on timed entries: each entry admits with the
 * exported admission, routes with the exported router, and records what the
 * callers see.
 */
import {
	AdmissionController,
	type DrawIndex,
	defaultAdmissionTargets,
	type Random,
	toCustomerId,
} from 'bramleystage';
import {Router} from 'bramleystage-entry';
import {benchLayers} from './bench-fleet.js';
import {benchModel, type TimedSite} from './timed-site.js';
import type {VirtualTime} from './virtual-time.js';

export type Shape = {
	readonly promptTokens: number;
	readonly answerTokens: number;
};

/** One customer's demand. */
export type Demand = {
	readonly customer: string;
	readonly weight: number;
	/** Tokens a second that it asks for, of prompts and answers. */
	readonly tokensPerSecond: number;
	/** How its requests spread over the entries, summing to 1. */
	readonly entryShares: readonly number[];
	readonly shapes: readonly Shape[];
};

/** What the callers of one customer saw, after the warm-up. */
export type Seen = {
	readonly firstTokenMs: number[];
	readonly gapMs: number[];
	/** Tokens of prompts and answers that came, as they came. */
	tokens: number;
	/** Tokens of whole answers whose first token and gaps were in time. */
	goodTokens: number;
	refused: number;
	accepted: number;
};

export type DemandOptions = {
	readonly time: VirtualTime;
	readonly site: TimedSite;
	readonly demands: readonly Demand[];
	readonly random: Random;
	readonly entryCount: number;
	/** From when on the callers' records count, in milliseconds. */
	readonly countFrom: number;
};

const reportIntervalMs = 250;
const msPerSecond = 1000;
const deadlineMs = 10_000;
const goodFirstTokenMs = 1200;
const goodMeanGapMs = 62;

type Entry = {readonly router: Router; readonly admission: AdmissionController};

/** Starts the demand; gives the records, which fill as time runs. */
export function startDemand(options: DemandOptions): Map<string, Seen> {
	const entries = createEntries(options);
	const seen = new Map<string, Seen>();
	for (const demand of options.demands) {
		const record = createSeen();
		seen.set(demand.customer, record);
		startCustomer(options, entries, demand, record);
	}

	return seen;
}

const createSeen = (): Seen => ({
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
		const router = new Router({drawIndex, choices: 4});
		const delayMs = (index * reportIntervalMs) / entryCount;
		site.startReports(reportIntervalMs, delayMs, (host) => {
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
	record: Seen,
): void {
	const {time, random} = options;
	const {shapes, tokensPerSecond} = demand;
	const sizes = shapes.map(
		({promptTokens, answerTokens}) => promptTokens + answerTokens,
	);
	const meanSize = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
	const meanMs = (meanSize * msPerSecond) / tokensPerSecond;
	const arrive = () => {
		const entry = selectEntry(entries, demand.entryShares, random());
		const shape = shapes[Math.floor(random() * shapes.length)]!;
		sendRequest(options, entry, {demand, shape, record});
		time.schedule(-Math.log(1 - random()) * meanMs, arrive);
	};

	time.schedule(random() * meanMs, arrive);
}

function selectEntry(
	entries: readonly Entry[],
	shares: readonly number[],
	point: number,
): Entry {
	let sum = 0;
	for (const [index, share] of shares.entries()) {
		sum += share;
		if (point < sum) {
			return entries[index]!;
		}
	}

	return entries.at(-1)!;
}

type Sending = {
	readonly demand: Demand;
	readonly shape: Shape;
	readonly record: Seen;
};

function sendRequest(
	{time, site, countFrom}: DemandOptions,
	{router, admission}: Entry,
	{demand, shape, record}: Sending,
): void {
	const startedAt = time.now;
	const isCounted = () => time.now >= countFrom;
	const customer = toCustomerId(demand.customer);
	const {weight} = demand;
	const work = shape.promptTokens + shape.answerTokens;
	const request = {customer, weight, work, deadlineMs, ...shape};
	if (admission.admit(request, startedAt).isErr()) {
		record.refused += isCounted() ? 1 : 0;
		return;
	}

	record.accepted += isCounted() ? 1 : 0;
	const model = {model: benchModel, version: '1', layers: benchLayers};
	const stages = router
		.chooseStages(site.hosts, {...model, ...shape}, [], startedAt)
		._unsafeUnwrap();
	let lastAt: number | undefined;
	let firstMs = 0;
	const onToken = (isLast: boolean) => {
		const {now} = time;
		if (lastAt === undefined) {
			firstMs = now - startedAt;
			admission.recordFirstToken(request, firstMs, now);
		} else {
			admission.recordTokenGap(customer, now - lastAt, now);
		}

		if (isCounted()) {
			record.tokens += lastAt === undefined ? shape.promptTokens : 1;
			(lastAt === undefined ? record.firstTokenMs : record.gapMs).push(
				now - (lastAt ?? startedAt),
			);
		}

		lastAt = now;
		if (isLast) {
			admission.recordEnd(request, now);
			const meanGap =
				(now - startedAt - firstMs) / Math.max(1, shape.answerTokens - 1);
			const isGood = firstMs <= goodFirstTokenMs && meanGap <= goodMeanGapMs;
			record.goodTokens += isCounted() && isGood ? work : 0;
		}
	};

	site.run(
		{...shape, customer: demand.customer, weight, priority: 5, onToken},
		stages,
	);
}

/** Gives a percentile of numbers, in their unit. */
export function findPercentile(
	values: readonly number[],
	share: number,
): number {
	const sorted = Float64Array.from(values).toSorted();
	return (
		sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
	);
}

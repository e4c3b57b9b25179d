/**
 * Fake of a site: entries with the real router, engines that keep prefixes, and
 * callers whose conversations share beginnings. Everything runs in virtual time.
 */
import {
	type ConnectedHost,
	createHosts,
	createRandom,
	estimatePromptTokens,
	type HostsSnapshot,
	listPrefixBlocks,
	listStageBlocks,
	type Random,
	type Stage,
	toDataCentreId,
	toHostId,
	updateConnectedHost,
} from 'bramleystage';
import {Router} from '../routing.js';
import {FakeEngine, model} from './prefix-engine.js';

export type SiteOptions = {
	readonly usesPrefixes: boolean;
	readonly entries: number;
	readonly enginesPerRange: number;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	/** Age of the reports that entries get, in milliseconds. */
	readonly lagMs: number;
	/** Tokens that an engine keeps. */
	readonly keptTokens: number;
	/** Number of different beginnings. */
	readonly openings: number;
	/** Exponent of the popularity of the beginnings; 0 makes all equally popular. */
	readonly skew: number;
	/** Share of the reports that list no change, but skip the numbers of some. */
	readonly gapShare: number;
	/** Interval at which one engine in turn is restarted; Infinity for never. */
	readonly restartMs: number;
	readonly room: number;
	readonly seed: number;
};

export type SiteResults = {
	readonly firstMs: readonly number[];
	readonly prefilledTokens: number;
	readonly promptTokens: number;
	/** Longest wait at any engine. */
	readonly worstWaitMs: number;
	/** Prompts at the engine that ran most, divided by the mean. */
	readonly unevenness: number;
};

type Event = {readonly at: number; readonly run: (now: number) => void};

const layers = 16;
const ranges = [
	{fromLayer: 0, toLayer: 8},
	{fromLayer: 8, toLayer: 16},
];
const reportIntervalMs = 250;
const openingCharacters = 8000;
const turnCharacters = 500;
const turns = 5;
const thinkMs = 4000;
const answerTokens = 24;

/** Runs conversations at a site; returns what callers and engines saw. */
export function runSite(options: SiteOptions): SiteResults {
	const random = createRandom(options.seed);
	const drawIndex = (bound: number) => Math.floor(random() * bound);
	const engines = new Map(
		ranges.flatMap((span) =>
			Array.from({length: options.enginesPerRange}, (_, index) => {
				const name = `engine-${span.fromLayer}-${index}`;
				const {keptTokens, usesPrefixes} = options;
				return [
					name,
					new FakeEngine(name, span, keptTokens, usesPrefixes),
				] as const;
			}),
		),
	);
	const entries = Array.from({length: options.entries}, () => ({
		router: new Router({drawIndex, candidatesPerRange: 4}),
		hosts: createSnapshot(options.entries),
	}));
	const events: Event[] = [];
	const schedule = (at: number, run: Event['run']) => {
		const index = events.findLastIndex((event) => event.at <= at);
		events.splice(index + 1, 0, {at, run});
	};

	const report = (engine: FakeEngine, now: number) => {
		const described = engine.describe(now, options.room);
		for (const entry of entries) {
			const hasGap = random() < options.gapShare;
			const heard = hasGap ? skipChanges(described) : described;
			schedule(now + options.lagMs, (at) => {
				entry.hosts = updateConnectedHost(entry.hosts, heard);
				entry.router.recordReport(heard, at);
			});
		}

		schedule(now + reportIntervalMs, (at) => {
			report(engine, at);
		});
	};

	const firstMs: number[] = [];
	let promptTokens = 0;
	const runTurn = (text: string, turn: number, now: number) => {
		const entry = entries[drawIndex(entries.length)]!;
		const blocks = listPrefixBlocks(model, '1', text);
		const shape = {promptTokens: estimatePromptTokens(text), answerTokens};
		const stages = entry.router
			.chooseStages(
				entry.hosts,
				{
					model,
					version: '1',
					layers,
					...shape,
					prefix: options.usesPrefixes ? blocks : undefined,
				},
				[],
				now,
			)
			._unsafeUnwrap();
		const expectedTokens = stages.map((stage) =>
			entry.router.prefixes.estimateHeldTokens(
				stage,
				listStageBlocks(blocks, stage),
				now,
			),
		);
		promptTokens += shape.promptTokens * stages.length;
		const runStage = (index: number, at: number): void => {
			const stage = stages[index];
			if (!stage) {
				firstMs.push(at - now);
				recordRun(entry.router, stages, blocks, at);
				return;
			}

			const prompt = {...shape, blocks: listStageBlocks(blocks, stage)};
			const expected = expectedTokens[index] ?? 0;
			const {firstAt, cachedTokens} = engines.get(stage.host)!.run(prompt, at);
			schedule(firstAt, (later) => {
				const found = {expected, found: cachedTokens};
				entry.router.prefixes.recordFound(stage, found, later);
				runStage(index + 1, later);
			});
		};

		runStage(0, now);
		if (turn + 1 < turns) {
			schedule(now + thinkMs * (0.5 + random()), (at) => {
				runTurn(text + drawText(random, turnCharacters), turn + 1, at);
			});
		}
	};

	for (const engine of engines.values()) {
		schedule(random() * reportIntervalMs, (at) => {
			report(engine, at);
		});
	}

	const openings = Array.from({length: options.openings}, () =>
		drawText(random, openingCharacters),
	);
	const meanGapMs = (1000 * turns) / options.requestsPerSecond;
	const startConversation = (now: number) => {
		const opening =
			openings[drawSkewed(random, openings.length, options.skew)]!;
		runTurn(opening + drawText(random, turnCharacters), 0, now);
		schedule(now - Math.log(1 - random()) * meanGapMs, startConversation);
	};

	schedule(reportIntervalMs + options.lagMs, startConversation);
	if (Number.isFinite(options.restartMs)) {
		const restart = (now: number) => {
			[...engines.values()][drawIndex(engines.size)]!.restart();
			schedule(now + options.restartMs, restart);
		};

		schedule(options.restartMs, restart);
	}

	for (
		let event = events.shift();
		event && event.at < options.durationMs;
		event = events.shift()
	) {
		event.run(event.at);
	}

	return describeResults([...engines.values()], firstMs, promptTokens);
}

function createSnapshot(entries: number): HostsSnapshot {
	const listed = Array.from({length: entries}, (_, index) => ({
		host: toHostId(`entry-${index}`),
		role: 'entry' as const,
		dataCentre: toDataCentreId('a'),
		address: '127.0.0.1:1',
		state: 'live' as const,
	}));
	return {
		...createHosts(),
		listed: new Map(listed.map((host) => [host.host, host])),
	};
}

/** Removes the changes of a report, so that the next one seems to skip them. */
const skipChanges = (described: ConnectedHost): ConnectedHost =>
	described.prefixes
		? {
				...described,
				prefixes: {
					...described.prefixes,
					first: described.prefixes.first + 1000,
					blocks: [],
					removed: [],
				},
			}
		: described;

function recordRun(
	router: Router,
	stages: readonly Stage[],
	blocks: readonly number[],
	now: number,
): void {
	for (const stage of stages) {
		router.prefixes.recordRun(stage, listStageBlocks(blocks, stage), now);
	}
}

/** Draws a text of a number of characters that no other text shares. */
function drawText(random: Random, characters: number): string {
	let text = '';
	while (text.length < characters) {
		text += ` ${random().toString(36).slice(2)}`;
	}

	return text.slice(0, characters);
}

/** Draws an index whose chance falls with its rank to the power of `skew`. */
function drawSkewed(random: Random, count: number, skew: number): number {
	const weights = Array.from({length: count}, (_, rank) => (rank + 1) ** -skew);
	let total = 0;
	for (const weight of weights) {
		total += weight;
	}

	let rest = random() * total;
	return weights.findIndex((weight) => {
		rest -= weight;
		return rest < 0;
	});
}

function describeResults(
	engines: readonly FakeEngine[],
	firstMs: readonly number[],
	promptTokens: number,
): SiteResults {
	let prefilledTokens = 0;
	let runs = 0;
	for (const engine of engines) {
		prefilledTokens += engine.prefilledTokens;
		runs += engine.runs;
	}

	return {
		firstMs: firstMs.toSorted((a, b) => a - b),
		prefilledTokens,
		promptTokens,
		worstWaitMs: Math.max(...engines.map(({worstWaitMs}) => worstWaitMs)),
		unevenness:
			(Math.max(...engines.map((engine) => engine.runs)) * engines.length) /
			runs,
	};
}

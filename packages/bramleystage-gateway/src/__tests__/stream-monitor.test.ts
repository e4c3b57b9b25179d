/** Engines that are silent or slow to report, without network. */
import {
	LifeCycle,
	maxLinkDelayMs,
	type PathStage,
	toBackendId,
	toDataCentreId,
	waitFor,
} from 'bramleystage';
import {err, ok} from 'neverthrow';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {Fleet} from '../fleet.js';
import type {
	EngineFailure,
	EnginePort,
	EngineReport,
} from '../platform-port.js';
import {InstanceWatch} from '../instance-watch.js';
import {StreamMonitor} from '../stream-monitor.js';
import type {StreamRun} from '../stream-run.js';
import {noLimits, noPermits} from './no-limits.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};
const toStage = (name: string, from: number): PathStage => ({
	id: toBackendId(name),
	address: `10.0.0.1:${from}`,
	layers: {from, to: from + 4},
});
const path = [toStage('one', 0), toStage('two', 4)] as const;
const pauseMs = 60;

let lifeCycle: LifeCycle;
let now: number;

beforeEach(() => {
	lifeCycle = new LifeCycle();
	now = 10_000;
});

afterEach(async () => {
	await lifeCycle.stop();
	vi.useRealTimers();
});

/** Checks the second engine after a refusal named it; returns how often the path's stream failed over. */
async function countFailOvers(
	kind: EngineFailure['kind'],
	silentMs: number,
	linkDelayMs = 0,
): Promise<number> {
	const readClock = () => now;
	const fleet = new Fleet({
		dataCentre: toDataCentreId('a'),
		logger,
		readClock,
		countGateways: () => 1,
		readLinkDelayMs: () => linkDelayMs,
	});
	const readReport = async () => err({kind, detail: 'no answer'});
	const monitor = new StreamMonitor({
		fleet,
		instances: new InstanceWatch({
			fleet,
			limits: noLimits,
			permits: noPermits,
			readReport,
			logger,
			readClock,
		}),
		logger,
		lifeCycle,
		readClock,
		readLinkDelayMs: () => linkDelayMs,
	});
	let failOvers = 0;
	const stream: Partial<StreamRun> = {
		path,
		hasEvents: true,
		lastProgressAt: now - silentMs,
		failOver() {
			failOvers++;
		},
	};
	monitor.register(stream as StreamRun);
	monitor.recordPause(path, pauseMs);
	await monitor.checkFaultyEngine(path[1]);
	return failOvers;
}

test('streams stay with an engine that only reports late, while they make progress', async () => {
	expect(await countFailOvers('lost', 2 * pauseMs)).toBe(0);
	expect(await countFailOvers('lost', 3 * pauseMs)).toBe(1);
});

test('streams leave an engine that cannot be reached after a short silence', async () => {
	expect(await countFailOvers('unreachable', 2 * pauseMs)).toBe(1);
	expect(await countFailOvers('unreachable', pauseMs)).toBe(0);
});

const report: EngineReport = {
	orderCount: 0,
	isBusy: false,
	queued: 0,
	running: 1,
	cacheUsed: 0,
	cacheTotal: 100,
	slowness: 1,
	stalled: [],
	bornAt: 1,
	isLeaving: false,
};

type SilenceCase = {
	readonly silentMs: number;
	/** Time until the engine's report arrives, in milliseconds; infinite for a dead engine. */
	readonly reportMs: number;
	/** Delay of the own link, in milliseconds, some time after the begin. */
	readonly readDelay: (elapsedMs: number) => number;
	readonly hasEvents?: boolean;
	/** Times to the first events of earlier streams, in milliseconds. */
	readonly firstEventsMs?: readonly number[];
};

/** Watches a stream of a fast path, which stays silent, over one inspection of its path. */
async function runInspection({
	silentMs,
	reportMs,
	readDelay,
	hasEvents = true,
	firstEventsMs = [],
}: SilenceCase) {
	vi.useFakeTimers();
	const readClock = () => performance.now();
	const startedAt = readClock();
	const readLinkDelayMs = () => readDelay(readClock() - startedAt);
	const fleet = new Fleet({
		dataCentre: toDataCentreId('a'),
		logger,
		readClock,
		countGateways: () => 1,
		readLinkDelayMs,
	});
	const timeouts: number[] = [];
	const readReport: EnginePort['readReport'] = async (_address, timeoutMs) => {
		timeouts.push(timeoutMs);
		const isInTime = reportMs <= timeoutMs;
		await waitFor(Math.min(reportMs, timeoutMs));
		return isInTime
			? ok(report)
			: err({
					kind: 'unreachable',
					detail: `No answer within ${timeoutMs} ms.`,
				});
	};

	const monitor = new StreamMonitor({
		fleet,
		instances: new InstanceWatch({
			fleet,
			limits: noLimits,
			permits: noPermits,
			readReport,
			logger,
			readClock,
		}),
		logger,
		lifeCycle,
		readClock,
		readLinkDelayMs,
	});
	let failOvers = 0;
	const stream: Partial<StreamRun> = {
		path,
		hasEvents,
		lastProgressAt: startedAt - silentMs,
		failOver() {
			failOvers++;
		},
	};
	const unregister = monitor.register(stream as StreamRun);
	monitor.recordPause(path, 20);
	for (const delayMs of firstEventsMs) {
		monitor.recordFirstEvent(delayMs);
	}

	// One check; without the stream there is no second inspection.
	await vi.advanceTimersByTimeAsync(25);
	unregister();
	await vi.advanceTimersByTimeAsync(1000);
	return {failOvers, isAvoided: fleet.health.isAvoided(path[0].id), timeouts};
}

test('streams that are silent no longer than the own link is delayed stay on their path', async () => {
	const slow = await runInspection({
		silentMs: 150,
		reportMs: 200,
		readDelay: () => 200,
	});
	expect(slow).toMatchObject({failOvers: 0, isAvoided: false});
});

test('streams leave a dead engine behind a sound link as soon as ever', async () => {
	const dead = {reportMs: Number.POSITIVE_INFINITY, readDelay: () => 0};
	const left = {failOvers: 1, isAvoided: true, timeouts: [150]};
	expect(await runInspection({...dead, silentMs: 150})).toEqual(left);
	// The check comes 20 ms after the begin.
	expect(await runInspection({...dead, silentMs: 61})).toEqual(left);
	const none = {failOvers: 0, isAvoided: false, timeouts: []};
	expect(await runInspection({...dead, silentMs: 60})).toEqual(none);
	const first = {...dead, hasEvents: false};
	expect(await runInspection({...first, silentMs: 331})).toEqual(left);
	expect(await runInspection({...first, silentMs: 330})).toEqual(none);
});

test('streams leave a dead engine behind a slow link later by no more than the delay', async () => {
	const dead = {
		reportMs: Number.POSITIVE_INFINITY,
		readDelay: () => maxLinkDelayMs,
	};
	const left = {
		failOvers: 1,
		isAvoided: true,
		timeouts: [150 + maxLinkDelayMs],
	};
	const limitMs = 60 + maxLinkDelayMs;
	expect(await runInspection({...dead, silentMs: limitMs + 1})).toEqual(left);
	expect(await runInspection({...dead, silentMs: limitMs})).toMatchObject({
		failOvers: 0,
		isAvoided: false,
	});
	const first = {...dead, hasEvents: false};
	const firstMs = 330 + maxLinkDelayMs;
	expect(await runInspection({...first, silentMs: firstMs + 1})).toEqual(left);
	expect(await runInspection({...first, silentMs: firstMs})).toMatchObject({
		failOvers: 0,
		isAvoided: false,
	});
});

test('a report that is late by the delay of the own link is no sign against its engine', async () => {
	const late = await runInspection({
		silentMs: 1000,
		reportMs: 150 + 200,
		readDelay: () => 200,
	});
	expect(late.isAvoided).toBe(false);
});

test('a link that becomes slow while a report is read is no sign against its engine', async () => {
	const late = await runInspection({
		silentMs: 100,
		reportMs: 300,
		readDelay: (elapsedMs) => (elapsedMs < 60 ? 0 : 200),
	});
	expect(late).toMatchObject({failOvers: 0, isAvoided: false});
});

test('the small variations of a sound link do not keep streams on a dead engine', async () => {
	const left = await runInspection({
		silentMs: 100,
		reportMs: Number.POSITIVE_INFINITY,
		readDelay: (elapsedMs) => (elapsedMs < 60 ? 0 : 5),
	});
	expect(left).toEqual({failOvers: 1, isAvoided: true, timeouts: [150]});
});

test('streams stay with a faulty engine that is silent no longer than the own link is delayed', async () => {
	expect(await countFailOvers('unreachable', 2 * pauseMs, 200)).toBe(0);
	expect(await countFailOvers('unreachable', 2 * pauseMs + 200, 200)).toBe(1);
	expect(await countFailOvers('lost', 3 * pauseMs, 200)).toBe(0);
	expect(await countFailOvers('lost', 3 * pauseMs + 200, 200)).toBe(1);
});

// Load pattern: a burst fills all paths, so that all first events are late. Guards against
// streams that then go from path to path and make each one read their prompts again.
test('a stream that waits for its first event stays while all first events are late and no fault is reported', async () => {
	const waiting = {silentMs: 500, readDelay: () => 0, hasEvents: false};
	const late = Array.from({length: 10}, () => 600);
	const sound = {...waiting, reportMs: 3};
	expect(await runInspection({...sound, firstEventsMs: late})).toMatchObject({
		failOvers: 0,
		isAvoided: false,
	});
	expect(
		await runInspection({...sound, silentMs: 1500, firstEventsMs: late}),
	).toMatchObject({failOvers: 1});
	const usual = Array.from({length: 10}, () => 60);
	expect(await runInspection({...sound, firstEventsMs: usual})).toMatchObject({
		failOvers: 1,
	});
	const dead = {...waiting, reportMs: Number.POSITIVE_INFINITY};
	expect(await runInspection({...dead, firstEventsMs: late})).toMatchObject({
		failOvers: 1,
		isAvoided: true,
	});
});

/** Engines that are silent or slow to report, without network. */
import {
	LifeCycle,
	type PathStage,
	toBackendId,
	toDataCentreId,
} from 'bramleystage';
import {err} from 'neverthrow';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {Fleet} from '../fleet.js';
import type {EngineFailure, EnginePort} from '../platform-port.js';
import {StreamMonitor} from '../stream-monitor.js';
import type {StreamRun} from '../stream-run.js';

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
});

/** Checks the second engine after a refusal named it; returns how often the path's stream failed over. */
async function countFailOvers(
	kind: EngineFailure['kind'],
	silentMs: number,
): Promise<number> {
	const readClock = () => now;
	const fleet = new Fleet({
		dataCentre: toDataCentreId('a'),
		logger,
		readClock,
		countGateways: () => 1,
		readLinkDelayMs: () => 0,
	});
	const engines: Partial<EnginePort> = {
		readReport: async () => err({kind, detail: 'no answer'}),
	};
	const monitor = new StreamMonitor({
		fleet,
		engines: engines as EnginePort,
		logger,
		lifeCycle,
		readClock,
		readLinkDelayMs: () => 0,
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

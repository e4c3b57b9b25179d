/** How often a stream runs, and if it ends whole, whatever the engines do. */
import {EventEmitter} from 'node:events';
import type {ServerResponse} from 'node:http';
import {
	type Backend,
	LifeCycle,
	toBackendId,
	toDataCentreId,
	toRequestId,
	toRouteName,
} from 'bramleystage';
import * as fc from 'fast-check';
import {ok} from 'neverthrow';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import type {Call} from '../call.js';
import {CrashGuard} from '../crash-guard.js';
import {CrashLedger} from '../crash-ledger.js';
import {Fleet} from '../fleet.js';
import {InstanceWatch} from '../instance-watch.js';
import type {HeaderPort} from '../platform-port.js';
import {RequestRecorder} from '../request-recorder.js';
import {StreamMonitor} from '../stream-monitor.js';
import {StreamRun, type StreamRunContext} from '../stream-run.js';
import {modelService} from './model-service.js';
import {
	createOpenAttempt,
	eventCount,
	SimulatedEngine,
	type Trouble,
	type TroubleKind,
} from './simulated-engines.js';
import {noAdmission} from './no-admission.js';
import {noDemand} from './no-demand.js';
import {noLimits, noPermits} from './no-limits.js';
import {stayingCaller} from './staying-caller.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};
const request = toRequestId('request-1');
const headers: HeaderPort = {
	readCallHeaders: () => undefined,
	buildAttemptHeaders: () => [],
	readAnswerHeaders: () => ({
		request,
		isStamped: true,
		isEventStream: true,
		isNotRun: false,
		isLeaving: false,
	}),
};
const engineCount = 4;
/** How often the gateway reads the list, in milliseconds. */
const listIntervalMs = 500;
const usualDeadlineMs = 8000;

/** What a caller receives. */
// A `ServerResponse` is an emitter too.
// eslint-disable-next-line unicorn/prefer-event-target
class CallerResponse extends EventEmitter {
	status: number | undefined;
	headersSent = false;
	writableEnded = false;
	destroyed = false;
	text = '';

	writeHead(status: number): this {
		this.status = status;
		this.headersSent = true;
		return this;
	}

	write(bytes: Buffer): boolean {
		this.text += bytes.toString();
		return true;
	}

	end(): void {
		this.writableEnded = true;
		this.emit('close');
	}

	destroy(): void {
		this.destroyed = true;
		this.emit('close');
	}

	get events(): number[] {
		return [...this.text.matchAll(/^id: (\d+)$/gmv)].map(([, id]) =>
			Number(id),
		);
	}
}

let lifeCycle: LifeCycle;

beforeEach(() => {
	vi.useFakeTimers();
	lifeCycle = new LifeCycle();
});

afterEach(async () => {
	await lifeCycle.stop();
	vi.useRealTimers();
});

const createEntry = (index: number): Backend => ({
	id: toBackendId(`engine-${index}`),
	service: modelService.name,
	address: `10.0.0.${index}:1`,
	dataCentre: toDataCentreId('a'),
	isDraining: false,
	kind: 'big',
	layers: {from: 0, to: 8},
	models: [modelService.pipeline.model],
	slots: 100,
	bornAt: 1,
});

type StreamCase = {
	readonly troubles: readonly Trouble[];
	readonly maxAttempts: number;
	readonly isBudgetLeft: boolean;
	readonly deadlineMs?: number;
};

/** Runs one stream while the engines have their troubles. */
async function runStream({
	troubles,
	maxAttempts,
	isBudgetLeft,
	deadlineMs = usualDeadlineMs,
}: StreamCase) {
	const readClock = () => performance.now();
	const startedAt = readClock();
	const entries = Array.from({length: engineCount}, (_, index) =>
		createEntry(index),
	);
	const engines = entries.map((entry) => new SimulatedEngine(entry, readClock));
	const byAddress = new Map(
		engines.map((engine, index) => [entries[index]?.address ?? '', engine]),
	);
	const fleet = new Fleet({
		dataCentre: toDataCentreId('a'),
		logger,
		readClock,
		countGateways: () => 1,
		readLinkDelayMs: () => 0,
	});
	const readList = () => {
		fleet.replace(
			engines.flatMap(({entry}) => entry ?? []),
			readClock(),
		);
	};

	readList();
	lifeCycle.registerInterval(listIntervalMs, readList);
	const instances = new InstanceWatch({
		fleet,
		limits: noLimits,
		permits: noPermits,
		async readReport(address, timeoutMs) {
			const engine = byAddress.get(address);
			if (!engine) {
				throw new Error(`No engine at ${address}.`);
			}

			return engine.readReport(timeoutMs);
		},
		logger,
		readClock,
	});
	const monitor = new StreamMonitor({
		fleet,
		instances,
		logger,
		lifeCycle,
		readClock,
		readLinkDelayMs: () => 0,
	});
	for (const trouble of troubles) {
		lifeCycle.registerTimeout(trouble.at, () => {
			engines[trouble.engine]?.handleTrouble(trouble);
		});
	}

	const response = new CallerResponse();
	const recorder = new RequestRecorder(logger, readClock, () => 0);
	const crashGuard = new CrashGuard({
		ledger: new CrashLedger({
			isGroupKnown: () => true,
			listMembers: () => [],
			self: 'gateway',
			lifeCycle,
			logger,
			readClock,
		}),
		recorder,
		fleet,
		instances,
		async checkConnection(address, timeoutMs) {
			const report = await byAddress.get(address)?.readReport(timeoutMs);
			if (report?.isErr() && report.error.kind === 'refused') {
				return 'refused';
			}

			return report?.isOk() ? 'open' : 'silent';
		},
		lifeCycle,
		logger,
		readClock,
		readLinkDelayMs: () => 0,
	});
	const context: StreamRunContext = {
		fleet,
		instances,
		limits: noLimits,
		permits: noPermits,
		crashGuard,
		admission: noAdmission,
		demand: noDemand,
		openAttempt: createOpenAttempt(
			byAddress,
			() => response.events.at(-1) ?? 0,
		),
		checkEnd: async () => false,
		headers,
		recorder,
		trySpendRetry: () => isBudgetLeft,
		readClock,
		readLinkDelayMs: () => 0,
		isStopping: () => false,
		holdsStreams: () => false,
		drawRandom: () => 0.5,
		replacePath: async () => ok('unknownRequest'),
		registerStream: (stream) => monitor.register(stream),
		checkFaultyEngine: () => undefined,
		recordPause(path, pauseMs) {
			monitor.recordPause(path, pauseMs);
		},
		recordFirstEvent(delayMs) {
			monitor.recordFirstEvent(delayMs);
		},
	};
	const call: Call = {
		metadata: {
			request,
			promptTokens: 10,
			maxAnswerTokens: 10,
			promptParts: [],
		},
		route: {
			name: toRouteName('r'),
			host: 'test',
			pathPrefix: '/',
			kind: 'streaming',
			timeoutMs: deadlineMs,
			latencyTargetMs: 500,
			eventGapTargetMs: 250,
			priority: 5,
			targets: [],
			maxAttempts,
			isPublic: true,
			isResumable: true,
		},
		service: modelService,
		method: 'POST',
		target: '/',
		headers: [],
		body: Buffer.from('{}'),
		response: response as unknown as ServerResponse,
		caller: stayingCaller,
		arrivedAt: startedAt,
		unreadMs: 0,
		deadlineAt: startedAt + deadlineMs,
		version: 1,
	};
	const countRunning = () =>
		engines.flatMap((engine) =>
			engine.runs.filter(({bornAt}) => engine.isRunning(bornAt)),
		).length;
	// An engine shows that its runs are over if it refuses connections while it is listed
	// as serving. One that has left the list may still run what it has.
	const countKnown = () =>
		engines.flatMap(({id, hasVisiblyEnded, runs}) =>
			hasVisiblyEnded && fleet.snapshots.value.backends.has(id) ? [] : runs,
		).length;
	let endedAt = Number.NaN;
	let runsAtEnd = 0;
	let knownRunsAtEnd = 0;
	response.once('close', () => {
		endedAt = readClock();
		runsAtEnd = countRunning();
		knownRunsAtEnd = countKnown();
	});
	new StreamRun(call, context).tryNextAttempt();
	await vi.advanceTimersByTimeAsync(deadlineMs + 100);
	await lifeCycle.stop();
	lifeCycle = new LifeCycle();
	return {
		status: response.status,
		events: response.events,
		isWhole: !response.destroyed && response.events.length === eventCount,
		hasBegun: response.events.length > 0,
		tookMs: endedAt - startedAt,
		runsAtEnd,
		knownRunsAtEnd,
	};
}

const troubleArbitrary: fc.Arbitrary<Trouble> = fc.record({
	kind: fc.constantFrom<TroubleKind>(
		'spoil',
		'cut',
		'pause',
		'end',
		'restart',
		'leave',
	),
	engine: fc.nat({max: engineCount - 1}),
	at: fc.nat({max: 4000}),
	forMs: fc.integer({min: 100, max: 1500}),
});

// Guards against runs that were not counted since an engine's report was late or spoiled,
// and against started answers that ended incomplete although a run was left.
test('a stream runs on as many live engines as allowed at most, and ends whole while a run is left', async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.record({
				troubles: fc.array(troubleArbitrary, {maxLength: 12}),
				maxAttempts: fc.integer({min: 1, max: 3}),
				isBudgetLeft: fc.boolean(),
			}),
			async (streamCase) => {
				const {events, isWhole, hasBegun, tookMs, runsAtEnd, knownRunsAtEnd} =
					await runStream(streamCase);
				const {maxAttempts, isBudgetLeft} = streamCase;
				expect(runsAtEnd).toBeLessThanOrEqual(maxAttempts);
				expect(events).toEqual(events.map((_, index) => index + 1));
				const mayGoOn =
					isBudgetLeft &&
					knownRunsAtEnd < maxAttempts &&
					tookMs < usualDeadlineMs - 50;
				if (hasBegun && mayGoOn) {
					expect(isWhole).toBe(true);
				}
			},
		),
		{seed: 29, numRuns: 300},
	);
});

// Guards against a deadline that passes while the engine of the only run is asked if it
// still is there, and a caller that is told that its request has not run.
test('a request whose deadline passes during the check of its engine is not called not run', async () => {
	const {status, runsAtEnd, tookMs} = await runStream({
		troubles: [
			{kind: 'pause', engine: 0, at: 5, forMs: 1000},
			{kind: 'cut', engine: 0, at: 10, forMs: 0},
		],
		maxAttempts: 1,
		isBudgetLeft: true,
		deadlineMs: 100,
	});
	expect(runsAtEnd).toBe(1);
	expect(tookMs).toBeLessThan(150);
	expect(status).toBe(504);
});

// Guards against a run that is not counted because its engine, which leaves, has stopped
// listening while it still runs the request.
test('a stream at an engine that leaves and refuses connections is not run again beside its limit', async () => {
	const {isWhole, runsAtEnd} = await runStream({
		troubles: [
			{kind: 'leave', engine: 0, at: 100, forMs: 0},
			{kind: 'pause', engine: 0, at: 2300, forMs: 600},
		],
		maxAttempts: 1,
		isBudgetLeft: true,
	});
	expect(runsAtEnd).toBe(1);
	expect(isWhole).toBe(true);
});

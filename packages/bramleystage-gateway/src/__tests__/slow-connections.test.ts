/**
 * Connections that open late: the look-up of the server's name takes the time
 * that a slow link would.
 */
import dns from 'node:dns';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	type Backend,
	LifeCycle,
	maxLinkDelayMs,
	toBackendId,
	toDataCentreId,
	toRequestId,
	toRouteName,
	toServiceName,
} from 'bramleystage';
import {err, ok} from 'neverthrow';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import type {Call} from '../call.js';
import {Fleet} from '../fleet.js';
import {InstanceWatch} from '../instance-watch.js';
import {PathReplacement} from '../path-replacement.js';
import {PlainRun} from '../plain-run.js';
import type {HeaderPort} from '../platform-port.js';
import {RequestRecorder} from '../request-recorder.js';
import {openTimedAttempt} from '../timed-attempt.js';
import {StreamRun, type StreamRunContext} from '../stream-run.js';
import {modelService} from './model-service.js';
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
type LookupCallback = (
	error: null,
	addresses: Array<{address: string; family: number}>,
) => void;

const never = Number.POSITIVE_INFINITY;
const readClock = () => performance.now();
const request = toRequestId('request-1');
const plainService = {name: toServiceName('desk'), maxConnections: 100};
const headers: HeaderPort = {
	readCallHeaders: () => undefined,
	buildAttemptHeaders: () => [['Host', 'test']],
	readAnswerHeaders: () => ({
		request,
		isStamped: true,
		isEventStream: true,
		isNotRun: false,
		isLeaving: false,
	}),
};

let server: http.Server;

beforeEach(async () => {
	server = http.createServer((_request, response) => {
		response.end('id: 0\ndata: done\n\n');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
});

afterEach(() => {
	vi.restoreAllMocks();
	server.close();
});

/** Makes each connection to a server's name open late. */
function replaceLookups(connectMs: number): void {
	vi.spyOn(dns, 'lookup').mockImplementation(((
		_host: string,
		_options: unknown,
		callback: LookupCallback,
	) => {
		if (Number.isFinite(connectMs)) {
			setTimeout(() => {
				callback(null, [{address: '127.0.0.1', family: 4}]);
			}, connectMs);
		}
	}) as unknown as typeof dns.lookup);
}

const createBackend = (isEngine: boolean): Backend => ({
	id: toBackendId('one'),
	service: isEngine ? modelService.name : plainService.name,
	address: `one.test:${(server.address() as AddressInfo).port}`,
	dataCentre: toDataCentreId('a'),
	isDraining: false,
	...(isEngine && {kind: 'big', layers: {from: 0, to: 8}}),
	models: isEngine ? [modelService.pipeline.model] : [],
	slots: 100,
	bornAt: 1,
});

const createCall = (
	isStream: boolean,
	response: http.ServerResponse,
): Call => ({
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
		kind: isStream ? 'streaming' : 'nonIdempotent',
		timeoutMs: 5000,
		latencyTargetMs: 5000,
		eventGapTargetMs: 250,
		priority: 5,
		targets: [],
		maxAttempts: 1,
		isPublic: true,
		isResumable: false,
	},
	service: isStream ? modelService : plainService,
	method: 'POST',
	target: '/',
	headers: [],
	body: Buffer.from('{}'),
	response,
	caller: stayingCaller,
	arrivedAt: readClock(),
	unreadMs: 0,
	deadlineAt: readClock() + 5000,
	version: 1,
});

/** Serves one call from one backend server; the retry budget is empty. */
async function serveCall(
	isStream: boolean,
	connectMs: number,
	readDelay: (elapsedMs: number) => number,
) {
	const backend = createBackend(isStream);
	const createdAt = readClock();
	const readLinkDelayMs = () => readDelay(readClock() - createdAt);
	const fleet = new Fleet({
		dataCentre: backend.dataCentre,
		logger,
		readClock,
		countGateways: () => 1,
		readLinkDelayMs,
	});
	fleet.replace([backend], readClock());
	const lifeCycle = new LifeCycle();
	const context: Partial<StreamRunContext> = {
		fleet,
		limits: noLimits,
		permits: noPermits,
		instances: new InstanceWatch({
			fleet,
			limits: noLimits,
			permits: noPermits,
			readReport: async () => err({kind: 'unreachable', detail: 'no answer'}),
			logger,
			readClock,
		}),
		admission: noAdmission,
		demand: noDemand,
		openAttempt: openTimedAttempt,
		headers,
		crashGuard: {
			computeAllowedEnds: () => 2,
			findRefusal: () => undefined,
			isSuspect: () => false,
			recordCut: async () => false,
			recordSound: () => undefined,
		},
		recorder: new RequestRecorder(logger, readClock, () => 0),
		trySpendRetry: () => false,
		readClock,
		readLinkDelayMs,
		isStopping: () => false,
		holdsStreams: () => false,
		drawRandom: () => 0.5,
		registerStream: () => () => undefined,
		recordPause: () => undefined,
		recordFirstEvent: () => undefined,
	};
	const callers = http.createServer((_callerRequest, response) => {
		const call = createCall(isStream, response);
		const run = isStream
			? new StreamRun(call, context as StreamRunContext)
			: new PlainRun(call, context as StreamRunContext);
		run.tryNextAttempt();
	});
	callers.listen(0, '127.0.0.1');
	await once(callers, 'listening');
	replaceLookups(connectMs);
	const {port} = callers.address() as AddressInfo;
	const startedAt = readClock();
	const outgoing = http.get({host: '127.0.0.1', port, agent: false});
	const [response] = (await once(outgoing, 'response')) as [
		http.IncomingMessage,
	];
	response.resume();
	await once(response, 'end');
	callers.close();
	await lifeCycle.stop();
	return {
		status: response.statusCode,
		isAvoided: fleet.health.isAvoided(backend.id),
		tookMs: readClock() - startedAt,
	};
}

/** Kind, whether it is a stream, and its time limit for a connection, in milliseconds. */
const kinds = [
	['stream', true, 150],
	['plain call', false, 100],
] as const;

test.each(kinds)(
	'a %s whose connection is late by the delay of the own link is served',
	async (_name, isStream) => {
		const {status, isAvoided} = await serveCall(isStream, 300, () => 250);
		expect({status, isAvoided}).toEqual({status: 200, isAvoided: false});
	},
);

test.each(kinds)(
	'a %s whose connection is late on a link that has just become slow is served',
	async (_name, isStream, limitMs) => {
		const {status, isAvoided} = await serveCall(isStream, 300, (elapsedMs) =>
			elapsedMs < limitMs - 20 ? 0 : 250,
		);
		expect({status, isAvoided}).toEqual({status: 200, isAvoided: false});
	},
);

test.each(kinds)(
	'a %s without a connection is given up as soon as ever behind a sound link',
	async (_name, isStream, limitMs) => {
		const {status, isAvoided, tookMs} = await serveCall(
			isStream,
			never,
			() => 0,
		);
		expect({status, isAvoided}).toEqual({status: 503, isAvoided: true});
		expect(tookMs).toBeGreaterThan(limitMs - 5);
		expect(tookMs).toBeLessThan(limitMs + 150);
	},
);

test.each(kinds)(
	'a %s without a connection is given up in bounded time behind a slow link',
	async (_name, isStream, limitMs) => {
		const {status, isAvoided, tookMs} = await serveCall(
			isStream,
			never,
			() => maxLinkDelayMs,
		);
		expect({status, isAvoided}).toEqual({status: 503, isAvoided: true});
		expect(tookMs).toBeGreaterThan(limitMs + maxLinkDelayMs - 5);
		expect(tookMs).toBeLessThan(limitMs + maxLinkDelayMs + 150);
	},
);

test('an order for another path waits longer by the delay of the own link', async () => {
	const timeouts: number[] = [];
	let linkDelayMs = 0;
	const stage = {
		id: toBackendId('one'),
		address: 'one.test:1',
		layers: {from: 0, to: 8},
	};
	const context = {
		fleet: {choosePathAfter: () => [stage]} as unknown as Fleet,
		limits: noLimits,
		permits: noPermits,
		recorder: new RequestRecorder(logger, readClock, () => 0),
		async replacePath(_address: string, {timeoutMs}: {timeoutMs: number}) {
			timeouts.push(timeoutMs);
			return ok('accepted' as const);
		},
		readClock,
		readLinkDelayMs: () => linkDelayMs,
	};
	const call: Partial<Call> = {
		metadata: {
			request,
			promptTokens: 10,
			maxAnswerTokens: 10,
			promptParts: [],
		},
		service: modelService,
	};
	await new PathReplacement(call as Call, context).run(stage, new Set());
	linkDelayMs = 200;
	await new PathReplacement(call as Call, context).run(stage, new Set());
	expect(timeouts).toEqual([300, 500]);
});

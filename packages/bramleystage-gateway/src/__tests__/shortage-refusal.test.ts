/** A call to a model service that is short of engines, from its arrival to its response. */
import http from 'node:http';
import net from 'node:net';
import {
	type FleetLoad,
	toBackendId,
	toDataCentreId,
	toRequestId,
	toRouteName,
} from 'bramleystage';
import {expect, test} from 'vitest';
import {type CallHandlerOptions, createCallAdmission} from '../call-handler.js';
import type {Call} from '../call.js';
import {Fleet} from '../fleet.js';
import {RequestRecorder} from '../request-recorder.js';
import {modelService} from './model-service.js';
import {stayingCaller} from './staying-caller.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};
const readClock = () => 1000;

const createCall = (response: http.ServerResponse): Call => ({
	metadata: {
		request: toRequestId('request-1'),
		promptTokens: 100,
		maxAnswerTokens: 100,
		promptParts: [],
	},
	route: {
		name: toRouteName('r'),
		host: 'test',
		pathPrefix: '/',
		kind: 'streaming',
		timeoutMs: 20_000,
		latencyTargetMs: 500,
		eventGapTargetMs: 250,
		priority: 2,
		targets: [],
		maxAttempts: 2,
		isPublic: true,
		isResumable: true,
	},
	service: modelService,
	method: 'POST',
	target: '/',
	headers: [],
	body: Buffer.alloc(0),
	response,
	caller: stayingCaller,
	arrivedAt: readClock(),
	unreadMs: 0,
	deadlineAt: readClock() + 20_000,
	version: 1,
});

const full: FleetLoad['fleet'] = {
	running: 190,
	tokens: 19_000,
	ends: 0,
	rates: [{priority: 2, arrivals: 1000, admissions: 0}],
};

// Guards against a capacity that isn't the engines' own, and against a refusal that a caller can't act on.
test.each([
	['two first engines, which are full', 2, 503],
	['four first engines', 4, undefined],
])('a call to %s', async (_, engineCount, status) => {
	const fleet = new Fleet({
		dataCentre: toDataCentreId('a'),
		logger,
		readClock,
		countGateways: () => 1,
		readLinkDelayMs: () => 0,
	});
	fleet.replace(
		Array.from({length: engineCount}, (_entry, index) => ({
			id: toBackendId(`engine-${index}`),
			service: modelService.name,
			address: `10.0.0.${index}:80`,
			dataCentre: toDataCentreId('a'),
			isDraining: false,
			kind: 'big',
			layers: {from: 0, to: 8},
			models: [],
			slots: 1,
			bornAt: 0,
		})),
		readClock(),
	);
	const recorder = new RequestRecorder(logger, readClock, () => 0);
	let begun = 0;
	const turns: Array<() => void> = [];
	const admission = createCallAdmission({
		context: {
			fleet,
			recorder,
			readClock,
			drawRandom: () => 0,
			isStopping: () => false,
		} as unknown as CallHandlerOptions['context'],
		demand: {
			recordArrival: () => undefined,
			recordAdmission: () => undefined,
			recordEnd: () => undefined,
		},
		retryBudget: {
			recordRequest: () => undefined,
			trySpendRetry: () => false,
		},
		openCalls: {add: () => undefined, recordEnd: () => undefined},
		findDrainRefusal() {
			begun++;
			return undefined;
		},
		readFleetLoad: () => ({
			own: full,
			fleet: full,
			isMeasured: true,
			ageMs: 200,
		}),
		logger,
		measureUnreadMs: () => 0,
		waitForTurn(callback) {
			turns.push(callback);
		},
		waitForTime: () => undefined,
	});
	const response = new http.ServerResponse(
		new http.IncomingMessage(new net.Socket()),
	);
	admission.add(createCall(response), readClock());
	turns.shift()?.();
	expect(begun).toBe(0);
	expect(response.headersSent ? response.statusCode : undefined).toBe(status);
	expect(Number(response.getHeader('retry-after') ?? 1)).toBeGreaterThan(0.2);
	const metrics = await recorder.registry.metrics();
	const line =
		'bramleystage_gateway_shortage_requests_total{priority="2",result="refused"} 1';
	expect(metrics.includes(line)).toBe(status === 503);
});

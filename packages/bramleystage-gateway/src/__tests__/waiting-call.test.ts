/** A call that waits for its turn at a server while requests like it end others. */
import http from 'node:http';
import net from 'node:net';
import {
	createFailure,
	type Failure,
	toBackendId,
	toDataCentreId,
	toRequestId,
	toRouteName,
	toServiceName,
} from 'bramleystage';
import {expect, test} from 'vitest';
import type {Call} from '../call.js';
import {Fleet} from '../fleet.js';
import type {TurnResult} from '../permit-owner.js';
import {PlainRun} from '../plain-run.js';
import {RequestRecorder} from '../request-recorder.js';
import type {RunContext} from '../run-context.js';
import {noAdmission} from './no-admission.js';
import {noLimits} from './no-limits.js';
import {stayingCaller} from './staying-caller.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};
const readClock = () => 1000;
const service = {name: toServiceName('desk'), maxConnections: 100};

const createCall = (response: http.ServerResponse): Call => ({
	metadata: {
		request: toRequestId('request-1'),
		promptTokens: 0,
		maxAnswerTokens: 0,
		promptParts: [],
	},
	route: {
		name: toRouteName('r'),
		host: 'test',
		pathPrefix: '/',
		kind: 'nonIdempotent',
		timeoutMs: 5000,
		latencyTargetMs: 500,
		eventGapTargetMs: 250,
		priority: 5,
		targets: [],
		maxAttempts: 1,
		isPublic: true,
		isResumable: false,
	},
	service,
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

// Guards against requests that were in line at a server when others like them ended the third one, and are sent all the same.
test('a call whose content is blocked while it waits for its turn is sent to no server', () => {
	const fleet = new Fleet({
		dataCentre: toDataCentreId('a'),
		logger,
		readClock,
		countGateways: () => 1,
		readLinkDelayMs: () => 0,
	});
	fleet.replace(
		[
			{
				id: toBackendId('one'),
				service: service.name,
				address: '127.0.0.1:1',
				dataCentre: toDataCentreId('a'),
				isDraining: false,
				models: [],
				slots: 6,
				bornAt: 1,
			},
		],
		readClock(),
	);
	const refusals: Failure[] = [];
	let opened = 0;
	const turns: Array<(result: TurnResult) => void> = [];
	const context: Partial<RunContext> = {
		fleet,
		limits: noLimits,
		permits: {
			acquire(_id, _request, handleResult) {
				turns.push(handleResult);
				return () => undefined;
			},
			tryAcquire: async () => true,
		},
		admission: noAdmission,
		openAttempt() {
			opened++;
			return {cancel: () => undefined, isSent: () => false};
		},
		crashGuard: {
			computeAllowedEnds: () => 3,
			findRefusal: () => refusals[0],
			isSuspect: () => false,
			recordCut: async () => false,
			recordSound: () => undefined,
		},
		headers: {
			readCallHeaders: () => undefined,
			buildAttemptHeaders: () => [],
			readAnswerHeaders: () => ({
				isStamped: true,
				isEventStream: false,
				isNotRun: false,
				isLeaving: false,
			}),
		},
		recorder: new RequestRecorder(logger, readClock, () => 0),
		trySpendRetry: () => true,
		readClock,
		isStopping: () => false,
		holdsStreams: () => false,
		drawRandom: () => 0.5,
	};
	const response = new http.ServerResponse(
		new http.IncomingMessage(new net.Socket()),
	);
	new PlainRun(createCall(response), context as RunContext).tryNextAttempt();
	expect(turns).toHaveLength(1);
	refusals.push(createFailure('contentBlocked', 'Servers ended.'));
	for (const grant of turns) {
		grant({granted: true});
	}

	expect(opened).toBe(0);
	expect(response.statusCode).toBe(503);
});

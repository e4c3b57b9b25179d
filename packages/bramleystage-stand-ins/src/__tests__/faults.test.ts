/** Tests the injected faults of each stand-in, set over HTTP. */
import http from 'node:http';
import {sendHttpRequest} from 'bramleystage';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {startEngineStandIn} from '../engine.js';
import type {StandIn} from '../stand-in-server.js';
import {startPlatformStandIn} from '../platform.js';
import {startServiceStandIn} from '../service.js';

type StandInCase = {
	readonly start: () => Promise<StandIn>;
	/** A request that changes state, and one that reads whether it took effect. */
	readonly write: {path: string; body: unknown};
	readonly read: {path: string; expected: unknown};
};

const address = '127.0.0.1:0';
const cases: Record<string, StandInCase> = {
	platform: {
		start: async () => startPlatformStandIn(),
		write: {path: '/v1/logs/a/records', body: {value: 'x'}},
		read: {
			path: '/v1/logs/a/records?from=0',
			expected: {records: [{offset: 0, value: 'x'}]},
		},
	},
	engine: {
		start: async () =>
			startEngineStandIn({
				address,
				model: 'm',
				version: '1',
				fromLayer: 0,
				toLayer: 2,
				modelLayers: 2,
				acceleratorKind: 'large',
				checksFencing: true,
			}),
		write: {
			path: '/v1/orders',
			body: {order: 'load', fencing: 1, version: '2'},
		},
		read: {path: '/v1/engine', expected: {version: '2'}},
	},
	service: {
		start: async () => startServiceStandIn({address, name: 's', bookingMs: 0}),
		write: {path: '/bookings', body: {reference: 'r'}},
		read: {path: '/bookings/r', expected: {reference: 'r', runs: 1}},
	},
};

describe.each(Object.entries(cases))('%s', (_, {start, write, read}) => {
	let standIn: StandIn;
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});

	beforeEach(async () => {
		standIn = await start();
	});

	afterEach(async () => {
		await standIn.close();
	});

	const send = async (
		method: string,
		path: string,
		body?: unknown,
		overrides: {timeoutMs?: number; agent?: http.Agent} = {},
	) =>
		sendHttpRequest({
			method,
			url: `http://${standIn.address}${path}`,
			body: body === undefined ? undefined : JSON.stringify(body),
			timeoutMs: 5000,
			...overrides,
		});
	const setFaults = async (faults: unknown) => send('PUT', '/faults', faults);
	const sendWrite = async () => send('POST', write.path, write.body);
	const expectWritten = async () => {
		const response = await send('GET', read.path);
		const {body} = response._unsafeUnwrap();
		expect(JSON.parse(body.toString())).toMatchObject(read.expected as object);
	};

	test('down refuses every request until it is cleared', async () => {
		await setFaults({down: true});
		const refused = await sendWrite();
		expect(refused._unsafeUnwrap().status).toBe(503);
		await setFaults({down: false});
		const accepted = await sendWrite();
		expect(accepted._unsafeUnwrap().status).toBeLessThan(300);
		await expectWritten();
	});

	test('slowMs delays the response beyond a short timeout', async () => {
		await setFaults({slowMs: 400});
		const timedOut = await send('GET', read.path, undefined, {timeoutMs: 100});
		expect(timedOut._unsafeUnwrapErr().kind).toBe('timeout');
		await setFaults({slowMs: 0});
		const inTime = await send('GET', read.path);
		expect(inTime.isOk()).toBe(true);
	});

	test('loseAnswers drops the response after the request took effect', async () => {
		await setFaults({loseAnswers: 1});
		const lost = await sendWrite();
		expect(lost._unsafeUnwrapErr()).toMatchObject({
			kind: 'lost',
			sent: true,
		});
		await expectWritten();
	});

	test('silent leaves open connections without responses while new ones work', async () => {
		const keepAlive = {agent, timeoutMs: 300};
		const before = await send('GET', read.path, undefined, keepAlive);
		expect(before.isOk()).toBe(true);
		await setFaults({silent: true});
		const silent = await send('GET', read.path, undefined, keepAlive);
		expect(silent._unsafeUnwrapErr().kind).toBe('timeout');
		const newConnection = {agent: new http.Agent()};
		const after = await send('GET', read.path, undefined, newConnection);
		expect(after.isOk()).toBe(true);
	});

	test('invalid faults get status 400', async () => {
		const response = await setFaults({slowMs: -1});
		expect(response._unsafeUnwrap().status).toBe(400);
	});
});

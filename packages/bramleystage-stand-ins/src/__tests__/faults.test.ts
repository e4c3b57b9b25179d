/** Faults of each stand-in, switched by HTTP. */
import http from 'node:http';
import {sendHttp} from 'bramleystage';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {startEngine} from '../engine.js';
import type {StandIn} from '../faults.js';
import {startPlatform} from '../platform.js';
import {startService} from '../service.js';

type Case = {
	readonly start: () => Promise<StandIn>;
	/** A request with an effect, and one that shows whether it took effect. */
	readonly act: {path: string; body: unknown};
	readonly check: {path: string; expected: unknown};
};

const address = '127.0.0.1:0';
const cases: Record<string, Case> = {
	platform: {
		start: async () => startPlatform(),
		act: {path: '/v1/logs/a/records', body: {value: 'x'}},
		check: {
			path: '/v1/logs/a/records?from=0',
			expected: {records: [{offset: 0, value: 'x'}]},
		},
	},
	engine: {
		start: async () =>
			startEngine({
				address,
				model: 'm',
				version: '1',
				fromLayer: 0,
				toLayer: 2,
				modelLayers: 2,
				acceleratorKind: 'large',
				checksFencing: true,
			}),
		act: {path: '/v1/orders', body: {order: 'load', fencing: 1, version: '2'}},
		check: {path: '/v1/engine', expected: {version: '2'}},
	},
	service: {
		start: async () => startService({address, name: 's', bookingMs: 0}),
		act: {path: '/bookings', body: {reference: 'r'}},
		check: {path: '/bookings/r', expected: {reference: 'r', runs: 1}},
	},
};

describe.each(Object.entries(cases))('%s', (_, {start, act, check}) => {
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
		more: {timeoutMs?: number; agent?: http.Agent} = {},
	) =>
		sendHttp({
			method,
			url: `http://${standIn.address}${path}`,
			body: body === undefined ? undefined : JSON.stringify(body),
			timeoutMs: 5000,
			...more,
		});
	const setFaults = async (faults: unknown) => send('PUT', '/faults', faults);
	const sendAct = async () => send('POST', act.path, act.body);
	const expectEffect = async () => {
		const answer = await send('GET', check.path);
		const {body} = answer._unsafeUnwrap();
		expect(JSON.parse(body.toString())).toMatchObject(check.expected as object);
	};

	test('down refuses every request until it is up again', async () => {
		await setFaults({down: true});
		const refused = await sendAct();
		expect(refused._unsafeUnwrap().status).toBe(503);
		await setFaults({down: false});
		const taken = await sendAct();
		expect(taken._unsafeUnwrap().status).toBeLessThan(300);
		await expectEffect();
	});

	test('slow delays the answer past a short deadline', async () => {
		await setFaults({slowMs: 400});
		const late = await send('GET', check.path, undefined, {timeoutMs: 100});
		expect(late._unsafeUnwrapErr().kind).toBe('timeout');
		await setFaults({slowMs: 0});
		const prompt = await send('GET', check.path);
		expect(prompt.isOk()).toBe(true);
	});

	test('a lost answer comes after the effect', async () => {
		await setFaults({loseAnswers: 1});
		const lost = await sendAct();
		expect(lost._unsafeUnwrapErr()).toMatchObject({
			kind: 'lost',
			sent: true,
		});
		await expectEffect();
	});

	test('an open connection goes silent while a new one works', async () => {
		const kept = {agent, timeoutMs: 300};
		const before = await send('GET', check.path, undefined, kept);
		expect(before.isOk()).toBe(true);
		await setFaults({silent: true});
		const silent = await send('GET', check.path, undefined, kept);
		expect(silent._unsafeUnwrapErr().kind).toBe('timeout');
		const fresh = {agent: new http.Agent()};
		const after = await send('GET', check.path, undefined, fresh);
		expect(after.isOk()).toBe(true);
	});

	test('faults that make no sense get 400', async () => {
		const answer = await setFaults({slowMs: -1});
		expect(answer._unsafeUnwrap().status).toBe(400);
	});
});

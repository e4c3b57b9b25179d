/** What a gateway records of its calls and of its followers' load. */
import type {Socket} from 'node:net';
import {
	decodeFrameBody,
	FrameSplitter,
	type TimedTotal,
	toServiceName,
} from 'bramleystage';
import {Registry} from 'prom-client';
import {beforeEach, expect, test} from 'vitest';
import {registerDemandGauges} from '../demand-gauges.js';
import {DemandWatch} from '../demand-watch.js';
import {PeerPublisher} from '../peer-publisher.js';
import {createPeerState, peerUpdateSchema} from '../peer-update.js';
import {buildCall} from './demand-call.js';
import {noCrashes} from './no-crashes.js';
import {noLimits} from './no-limits.js';

const service = toServiceName('models');
let now: number;
let totals: TimedTotal[];
let watch: DemandWatch;

beforeEach(() => {
	now = 10_000;
	totals = [];
	watch = new DemandWatch({
		countGateways: () => 4,
		listTotals: () => totals,
	});
});

const readOwn = () => watch.readFleetLoad(service, now).own;

test('calls that arrive, begin and end are counted by priority', () => {
	const urgent = buildCall({priority: 0, promptTokens: 100});
	const later = buildCall({priority: 2, promptTokens: 50});
	for (const call of [urgent, later, buildCall({priority: 2})]) {
		watch.recordArrival(call, now);
	}

	watch.recordAdmission(urgent, now);
	watch.recordAdmission(later, now);
	expect(readOwn()).toEqual({
		running: 2,
		tokens: 150 + 2 * 200,
		ends: 0,
		rates: [
			{priority: 0, arrivals: 1, admissions: 1},
			{priority: 2, arrivals: 2, admissions: 1},
		],
	});
	watch.recordEnd(urgent, now);
	expect(readOwn()).toMatchObject({running: 1, tokens: 250, ends: 1});
});

// Guards against counts that drift, as refused calls end without having begun.
test('an end counts once, and only of a call that has begun', () => {
	const call = buildCall();
	watch.recordEnd(call, now);
	watch.recordAdmission(call, now);
	watch.recordAdmission(call, now);
	expect(readOwn().running).toBe(1);
	watch.recordEnd(call, now);
	watch.recordEnd(call, now);
	expect(readOwn()).toMatchObject({running: 0, tokens: 0, ends: 1});
});

// Guards against tokens that never leave, as the expected length changes while a call runs.
test('a call leaves with the tokens that it came with', () => {
	const call = buildCall({maxAnswerTokens: 1000});
	watch.recordAdmission(call, now);
	expect(readOwn().tokens).toBe(800);
	for (let count = 0; count < 20; count++) {
		watch.recordAnswer(buildCall({maxAnswerTokens: 1000}), 20);
	}

	// The answers had 20 events of two tokens.
	expect(watch.countExpectedTokens(call)).toBeCloseTo(340, -1);
	watch.recordEnd(call, now);
	expect(readOwn().tokens).toBe(0);
});

test('answers count for their own route, and only whole streams of a model', () => {
	const plain = buildCall();
	for (let count = 0; count < 20; count++) {
		watch.recordAnswer(buildCall({route: 'other'}), 20);
		watch.recordAnswer(buildCall({lastEvent: '7'}), 20);
		watch.recordAnswer(buildCall(), 0);
		watch.recordAnswer(
			{...buildCall(), service: {...plain.service, pipeline: undefined}},
			20,
		);
	}

	expect(watch.countExpectedTokens(plain)).toBe(500);
	expect(watch.countExpectedTokens(buildCall({route: 'other'}))).toBeLessThan(
		350,
	);
	expect(
		watch.countExpectedTokens(buildCall({answerTokensHint: 20})),
	).toBeLessThan(400);
});

test('a total is as old as the sums in it, also when it is sent again', () => {
	watch.acceptSums('a:1', {[service]: [5, 500, 0]}, now);
	now += 250;
	expect(watch.buildTotal(now)).toMatchObject({gateways: 2, ageMs: 250});
	now += 60;
	expect(watch.buildTotal(now)).toMatchObject({gateways: 2, ageMs: 310});
});

const createPublisher = (demand?: DemandWatch) =>
	new PeerPublisher({
		readState: createPeerState,
		onGroupFence: () => undefined,
		crashes: noCrashes,
		limits: noLimits,
		demand,
		readClock: () => now,
	});

const sums: unknown = {[service]: [5, 500, 0]};

/** Opens a follower's connection, which keeps the updates that are sent to it. */
function openFollower(publisher: PeerPublisher) {
	const splitter = new FrameSplitter();
	let handleClose = () => undefined as void;
	const socket: unknown = {
		writableNeedDrain: false,
		write(bytes: Buffer) {
			splitter.append(bytes);
		},
		on(_event: 'close', handler: () => void) {
			handleClose = handler;
		},
	};
	return {
		sendPing(sender?: string, demand = sums) {
			const ping = {beatAt: 1, sender, demand};
			publisher.acceptPing(socket as Socket, ping);
		},
		readUpdate() {
			const body = splitter.readNext()._unsafeUnwrap();
			return peerUpdateSchema.parse(
				body && decodeFrameBody(body)._unsafeUnwrap(),
			);
		},
		close() {
			handleClose();
		},
	};
}

const readRunning = () => {
	// Totals are computed anew after a while.
	now += 100;
	return watch.readFleetLoad(service, now).fleet.running;
};

// Guards against the load of a gateway that counts twice while its former connection is still open.
test('a follower on two connections counts once', () => {
	const publisher = createPublisher(watch);
	const [first, second] = [openFollower(publisher), openFollower(publisher)];
	first.sendPing('a:1');
	second.sendPing('a:1');
	first.sendPing('b:1');
	expect(first.readUpdate().demand).toMatchObject({gateways: 2});
	now += 100;
	second.sendPing('a:1');
	watch.readFleetLoad(service, now);
	expect(watch.buildTotal(now)).toMatchObject({
		gateways: 3,
		loads: {[service]: [10, 1000, 0]},
	});
});

test('a follower that says that it stops counts until its connection closes, another one for 1.5 s', () => {
	watch = new DemandWatch({countGateways: () => 3, listTotals: () => totals});
	const publisher = createPublisher(watch);
	const [stopping, dying] = [openFollower(publisher), openFollower(publisher)];
	stopping.sendPing('a:1');
	dying.sendPing('b:1');
	// A stopping gateway names its address no more.
	stopping.sendPing(undefined);
	expect(readRunning()).toBe(10);
	stopping.close();
	dying.close();
	expect(readRunning()).toBe(5);
	now += 1400;
	expect(readRunning()).toBe(0);
});

test('a follower that never gave its address, or of an older build, counts nothing', () => {
	const publisher = createPublisher(watch);
	const [nameless, older] = [openFollower(publisher), openFollower(publisher)];
	nameless.sendPing(undefined);
	older.sendPing('b:1', 'none');
	nameless.close();
	older.close();
	expect(watch.buildTotal(now + 100)).toMatchObject({gateways: 1, loads: {}});
	const silent = createPublisher();
	const follower = openFollower(silent);
	follower.sendPing('a:1');
	expect(follower.readUpdate().demand).toBeUndefined();
});

test('the gauges show running calls, tokens and arrivals, own and of all', async () => {
	const registry = new Registry();
	registerDemandGauges(registry, watch, () => now);
	const call = buildCall({priority: 1});
	watch.recordArrival(call, now);
	watch.recordAdmission(call, now);
	for (const sender of ['a:1', 'b:1', 'c:1']) {
		watch.acceptSums(sender, sums, now);
	}

	const name = 'bramleystage_gateway_demand_';
	const text = await registry.metrics();
	for (const line of [
		'running{service="models",scope="own"} 1',
		'running{service="models",scope="fleet"} 16',
		'tokens{service="models",scope="own"} 500',
		'tokens{service="models",scope="fleet"} 2000',
		'arrivals_per_second{service="models",scope="own",priority="1"} 1',
		'measured{service="models"} 1',
		'age_seconds{service="models"} 0',
	]) {
		expect(text).toContain(`${name}${line}\n`);
	}
});

import {expect, test} from 'vitest';
import {toModelName} from '../../protocol/ids.js';
import type {Offer} from '../../protocol/messages.js';
import {HeartbeatScheduler} from '../heartbeat-scheduler.js';

const timing = {heartbeatMs: 250, idleHeartbeatMs: 500, silenceMs: 1200};
const load = {queued: 0, running: 0, rate: 0};
const offers: Offer[] = [
	{
		kind: 'layers',
		model: toModelName('m'),
		version: '1',
		fromLayer: 0,
		toLayer: 4,
		acceleratorKind: 'large',
		layerTokensPerSecond: 1,
	},
];
const fullState = {leaving: false, offers, load};

const countHeartbeats = (
	heartbeats: HeartbeatScheduler,
	from: number,
	to: number,
) => {
	let count = 0;
	for (let now = from; now < to; now += 250) {
		count += heartbeats.createHeartbeat(fullState, now) ? 1 : 0;
	}

	return count;
};

test('an idle session sends heartbeats at the idle interval, a busy one at the shorter interval', () => {
	const heartbeats = new HeartbeatScheduler(timing, 0);
	expect(countHeartbeats(heartbeats, 0, 5000)).toBe(10);
	heartbeats.recordRequestFrame(5000);
	expect(countHeartbeats(heartbeats, 5000, 10_000)).toBe(20);
});

test('offers and load that the peer already has are omitted', () => {
	const heartbeats = new HeartbeatScheduler(timing, 0);
	expect(heartbeats.createHeartbeat(fullState, 0)).toMatchObject(fullState);
	expect(heartbeats.createHeartbeat(fullState, 500)).toEqual({
		type: 'heartbeat',
		leaving: false,
	});
	const changed = {...fullState, load: {...load, queued: 3}};
	expect(heartbeats.createHeartbeat(changed, 1000)).toEqual({
		type: 'heartbeat',
		leaving: false,
		load: changed.load,
	});
});

test('a change of leaving is sent immediately', () => {
	const heartbeats = new HeartbeatScheduler(timing, 0);
	expect(heartbeats.createHeartbeat(fullState, 0)).toBeDefined();
	expect(heartbeats.createHeartbeat(fullState, 250)).toBeUndefined();
	expect(
		heartbeats.createHeartbeat({...fullState, leaving: true}, 260),
	).toMatchObject({
		leaving: true,
	});
});

test('silence of a busy session counts from its first request frame', () => {
	const heartbeats = new HeartbeatScheduler(timing, 0);
	expect(heartbeats.findSilence(2000)).toBeUndefined();
	heartbeats.recordRequestFrame(2000);
	expect(heartbeats.findSilence(3200)).toBeUndefined();
	expect(heartbeats.findSilence(3201)).toBe(3201);
	heartbeats.recordArrival(3200);
	expect(heartbeats.findSilence(4000)).toBeUndefined();
});

test('time in which this process was paused does not count as silence of the peer', () => {
	const heartbeats = new HeartbeatScheduler(timing, 0);
	heartbeats.recordRequestFrame(0);
	heartbeats.recordTick(250);
	heartbeats.recordTick(4000);
	expect(heartbeats.findSilence(4000)).toBeUndefined();
	for (let now = 4250; now <= 5000; now += 250) {
		heartbeats.recordTick(now);
	}

	expect(heartbeats.findSilence(4600)).toBeUndefined();
	expect(heartbeats.findSilence(5000)).toBeDefined();
});

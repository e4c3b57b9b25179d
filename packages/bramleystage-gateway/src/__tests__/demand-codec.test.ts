/** The optional fields of pings and updates that carry demand: size, and peers of other builds. */
import {
	type DemandTotal,
	encodeValueFrame,
	FrameSplitter,
	decodeFrameBody,
	type ServiceLoad,
	toServiceName,
} from 'bramleystage';
import {expect, test} from 'vitest';
import {decodeSums, encodeSums, encodeTotal} from '../demand-codec.js';
import {
	applyPeerUpdate,
	buildPeerUpdate,
	createPeerState,
	peerUpdateSchema,
	pingSchema,
} from '../peer-update.js';

const service = toServiceName('language-model');
const pingsPerSecond = 1000 / 300;
const followedPeers = 2;

/** Load of a number of gateways that each serve 25 streams a second of three priorities. */
const buildLoad = (gateways: number): ServiceLoad => ({
	running: 63 * gateways,
	tokens: 98_765 * gateways,
	ends: 24.37 * gateways,
	rates: [0, 1, 2].map((priority) => ({
		priority,
		arrivals: (8.41 + priority) * gateways,
		admissions: (8.39 + priority) * gateways,
	})),
});

const buildTotal = (gateways: number): DemandTotal => ({
	loads: new Map([[service, buildLoad(gateways)]]),
	gateways,
	stopped: 12,
	lost: 13,
	ageMs: 1487,
});

/** Sends a value through a frame, as a connection does. */
function sendThrough(value: unknown): unknown {
	const splitter = new FrameSplitter();
	splitter.append(encodeValueFrame(value));
	const body = splitter.readNext()._unsafeUnwrap();
	return body && decodeFrameBody(body)._unsafeUnwrap();
}

const emptyState = createPeerState();
const update = buildPeerUpdate(
	{...emptyState, version: 12, configurationReadAt: 900.123, listReadAt: 800.5},
	{...emptyState, backends: emptyState.backends},
	{beatAt: 123_456.789, arrivedAt: 1000.25},
	1000.75,
);
const ping = {
	beatAt: 123_456.789,
	sender: '10.0.0.100:7300',
	groupFence: 17_000_000,
};
const sums = encodeSums(new Map([[service, buildLoad(1)]]));
const total = encodeTotal(buildTotal(400));

const countBytes = (value: unknown) => encodeValueFrame(value).length;
const countFieldBytes = (value: object, demand: unknown) =>
	countBytes({...value, demand}) - countBytes(value);

// Guards against control traffic that grows with the number of gateways or with digits nobody needs.
test('one service with three priorities takes under 150 bytes, also as the total of 400 gateways', () => {
	expect(countFieldBytes(ping, sums)).toBeLessThan(150);
	expect(countFieldBytes(update, total)).toBeLessThan(150);
	expect(countFieldBytes({}, sums)).toBeLessThan(150);
	expect(countFieldBytes({}, total)).toBeLessThan(150);
});

// Guards against control traffic above 3 KB/s of a gateway that follows two others.
test('pings and updates with demand stay under 3 KB/s at a follower of 400 gateways', () => {
	const perPeer =
		countBytes({...ping, demand: sums}) +
		countBytes({...update, demand: total});
	const rate = followedPeers * pingsPerSecond;
	expect(rate * perPeer).toBeLessThan(3000);
});

test('load arrives as it was sent, to a hundredth a second', () => {
	const {demand} = pingSchema.parse(sendThrough({...ping, demand: sums}));
	expect(decodeSums(demand)).toEqual(new Map([[service, buildLoad(1)]]));
	const received = peerUpdateSchema.parse(
		sendThrough({...update, demand: total}),
	);
	const state = applyPeerUpdate(emptyState, received);
	expect(state.demand).toMatchObject({
		gateways: 400,
		stopped: 12,
		lost: 13,
		ageMs: 1487,
		writtenAt: state.aliveAt,
	});
	const load = state.demand?.loads.get(service);
	expect(load?.running).toBe(63 * 400);
	expect(load?.rates[2]?.arrivals).toBeCloseTo(10.41 * 400, 2);
});

test('a gateway without load says so, unlike one of an older build', () => {
	const {demand} = pingSchema.parse(
		sendThrough({...ping, demand: encodeSums(new Map())}),
	);
	expect(decodeSums(demand)).toEqual(new Map());
	const older = pingSchema.parse(sendThrough(ping));
	expect(decodeSums(older.demand)).toBeUndefined();
});

// Guards against a fleet that can't be upgraded one gateway after the other.
test('gateways of older builds read pings and updates with demand, and theirs have none', () => {
	const olderPing = pingSchema.omit({demand: true});
	const olderUpdate = peerUpdateSchema.omit({demand: true});
	expect(olderPing.parse(sendThrough({...ping, demand: sums}))).toEqual(ping);
	expect(olderUpdate.parse(sendThrough({...update, demand: total}))).toEqual(
		olderUpdate.parse(sendThrough(update)),
	);
	const known = applyPeerUpdate(
		emptyState,
		peerUpdateSchema.parse({...update, demand: total}),
	);
	const older = peerUpdateSchema.parse(sendThrough(update));
	expect(applyPeerUpdate(known, older).demand).toBeUndefined();
});

// Guards against connections that end, and crash evidence that is lost, for a form of load that a later build sends.
test.each([
	{[service]: [1]},
	{[service]: [1, 2, -3]},
	{[service]: [1, Number.NaN, 3]},
	{[service]: 'many'},
	[],
	7,
])('a form of load that is not known counts as absent: %j', (demand) => {
	const parsed = pingSchema.parse(sendThrough({...ping, demand}));
	expect(parsed).toMatchObject(ping);
	expect(decodeSums(parsed.demand)).toBeUndefined();
	const {demand: wire} = peerUpdateSchema.parse(
		sendThrough({...update, demand: {...total, loads: demand}}),
	);
	expect(wire).toBeUndefined();
});

test('numbers that a later build adds to a total are left out', () => {
	const {demand} = peerUpdateSchema.parse(
		sendThrough({...update, demand: {...total, waiting: 3}}),
	);
	expect(demand).toEqual(total);
});

/**
 * Load pattern: gateways get a large configuration from each other over links that
 * take seconds for it, while they query again at a shorter interval.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {LifeCycle, type Logger} from 'bramleystage';
import {afterEach, expect, test} from 'vitest';
import {PeerSync} from '../peer-sync.js';
import {
	buildConfiguration,
	createFleet,
	createFollower,
	createLinkRecord,
	type SlowPeer,
	type SlowPeerOptions,
	silentLogger,
	startSlowPeer,
} from './slow-peer.js';

const routeCount = 2000;
/** Time for which each large answer is under way, in milliseconds. */
const answerMs = 1500;
/** Time in which a change must be in force, in milliseconds. */
const inForceMs = 3000;
const readClock = () => performance.now();

let lifeCycle = new LifeCycle();
/** What failed queries of the running test saw. */
const unfinished: unknown[] = [];
afterEach(async () => {
	await lifeCycle.stop();
	lifeCycle = new LifeCycle();
	unfinished.length = 0;
});

/** Starts peers, and one gateway that gets everything from them. */
async function startGateway(
	peers: ReadonlyArray<Partial<SlowPeerOptions>>,
	{
		isStoreLoading = false,
		drawRandom = () => 0,
	}: {isStoreLoading?: boolean; drawRandom?: () => number} = {},
) {
	const record = createLinkRecord();
	const slowPeers: SlowPeer[] = await Promise.all(
		peers.map(async (options) =>
			startSlowPeer({record, lifeCycle, answerMs, ...options}),
		),
	);
	const follower = createFollower();
	follower.isStoreLoading = isStoreLoading;
	const fleet = createFleet();
	/** Versions of the lines that tell of a received configuration. */
	const logged: unknown[] = [];
	const logger: Logger = {
		...silentLogger,
		info(event, fields) {
			if (event === 'configuration.received') {
				logged.push(fields?.version);
			}
		},
	};
	// eslint-disable-next-line no-new
	new PeerSync({
		follower,
		fleet,
		listPeers: () => slowPeers.map(({address}) => address),
		isStopping: () => false,
		lifeCycle,
		logger,
		readClock,
		drawRandom,
	});
	return {record, follower, fleet, slowPeers, logged, startedAt: readClock()};
}

function publish(peers: readonly SlowPeer[], version: number) {
	const configuration = buildConfiguration(version, routeCount);
	for (const {follower} of peers) {
		follower.configurations.next(configuration);
	}
}

/** Waits until a condition holds; returns the time at which it did, in milliseconds. */
async function waitUntil(condition: () => boolean, maxMs: number) {
	const until = readClock() + maxMs;
	while (!condition()) {
		if (readClock() > until) {
			throw new Error(
				`Not so within ${maxMs} ms. ${JSON.stringify(unfinished)}`,
			);
		}

		await wait(5);
	}

	return readClock();
}

// Guards against copies of one configuration that fill a slow link beside each other.
test('one configuration is under way at a time and is in force when it has arrived', async () => {
	const {record, follower, slowPeers} = await startGateway([{}, {}, {}]);
	publish(slowPeers, 7);
	const inForceAt = await waitUntil(
		() => follower.configurations.value?.version === 7,
		inForceMs,
	);
	await wait(answerMs);
	expect(record).toMatchObject({maxInFlight: 1, begun: 1});
	expect(inForceAt - record.endedAt[0]!).toBeLessThan(300);
});

// Guards against a version that arrives again after it is in force.
test('each version is received once', async () => {
	const {follower, slowPeers, logged} = await startGateway([{}, {}, {}]);
	publish(slowPeers, 7);
	await waitUntil(
		() => follower.configurations.value?.version === 7,
		inForceMs,
	);
	follower.announced = 8;
	publish(slowPeers, 8);
	await waitUntil(
		() => follower.configurations.value?.version === 8,
		inForceMs,
	);
	await wait(answerMs);
	expect(follower.accepted).toEqual([7, 8]);
	expect(logged).toEqual([7, 8]);
});

// Guards against a list of servers that waits behind a large configuration.
test('the list of servers arrives while a configuration is under way', async () => {
	const {follower, fleet, slowPeers, startedAt} = await startGateway([{}, {}]);
	publish(slowPeers, 7);
	const listedAt = await waitUntil(() => fleet.hasBackends, inForceMs);
	expect(follower.configurations.value?.version).toBeUndefined();
	expect(listedAt - startedAt).toBeLessThan(answerMs / 2);
});

// Guards against a gateway that gives up, and begins anew, what still arrives after the time in which it is due.
test('a transfer that is mostly done when the change is due is not begun again', async () => {
	const {record, follower, slowPeers} = await startGateway([
		{answerMs: 4000},
		{answerMs: 4000},
	]);
	publish(slowPeers, 7);
	await waitUntil(() => follower.configurations.value?.version === 7, 6000);
	expect(record.begun).toBe(1);
});

// Guards against a link too slow for the usual time, on which each transfer would be given up.
test('a configuration arrives also over a link that takes over twice the time in which it is due', async () => {
	const {record, follower, slowPeers} = await startGateway([
		{answerMs: 7000},
		{answerMs: 7000},
	]);
	publish(slowPeers, 7);
	await waitUntil(() => follower.configurations.value?.version === 7, 15_000);
	expect(record).toMatchObject({maxInFlight: 1, begun: 2});
});

// Guards against a peer that falls silent in the middle and holds up the others.
test('a peer that stalls is left for the next one', async () => {
	const {record, follower, slowPeers} = await startGateway([
		{
			fault: 'stall',
			onLargeAnswer() {
				publish([slowPeers[1]!], 7);
			},
		},
		{answerMs: 300},
	]);
	publish([slowPeers[0]!], 7);
	await waitUntil(
		() => follower.configurations.value?.version === 7,
		inForceMs,
	);
	expect(record).toMatchObject({maxInFlight: 1, begun: 2});
});

// Guards against a bad peer that is asked again while there are others.
test('a peer that stalled is asked again only after all others', async () => {
	for (const stalling of [0, 1]) {
		const {record, follower, slowPeers} = await startGateway(
			[0, 1].map((index) =>
				index === stalling ? {fault: 'stall' as const} : {answerMs: 100},
			),
		);
		publish(slowPeers, 7);

		await waitUntil(
			() => follower.configurations.value?.version === 7,
			inForceMs,
		);
		expect(record.begun).toBeLessThanOrEqual(2);
	}
});

// Guards against a peer whose bytes come too slowly ever to make up a configuration.
test('a peer that trickles is left for the next one', async () => {
	const {record, follower, slowPeers} = await startGateway([
		{
			fault: 'trickle',
			onLargeAnswer() {
				publish([slowPeers[1]!], 7);
			},
		},
		{answerMs: 300},
	]);
	publish([slowPeers[0]!], 7);
	await waitUntil(
		() => follower.configurations.value?.version === 7,
		inForceMs,
	);
	expect(record).toMatchObject({maxInFlight: 1, begun: 2});
});

// Guards against copies from peers beside the same configuration from the store.
test('no configuration is asked of peers while the store is loading one', async () => {
	const {record, follower, fleet, slowPeers} = await startGateway([{}, {}], {
		isStoreLoading: true,
	});
	publish(slowPeers, 7);
	await waitUntil(() => fleet.hasBackends, inForceMs);
	await wait(600);
	expect(record.begun).toBe(0);
	follower.isStoreLoading = false;
	await waitUntil(
		() => follower.configurations.value?.version === 7,
		inForceMs,
	);
});

// Guards against the rest of a transfer that nobody needs any more and that fills the link.
test('a transfer ends when the store has given the version', async () => {
	const {record, follower, slowPeers} = await startGateway([{}, {}]);
	publish(slowPeers, 7);
	await waitUntil(() => record.inFlight > 0, inForceMs);
	follower.configurations.next(buildConfiguration(7, routeCount));
	await waitUntil(() => record.inFlight === 0, answerMs / 3);
	await wait(600);
	expect(record).toMatchObject({begun: 1, endedAt: []});
});

// Guards against one gateway whose link is full because all others ask it first.
test('gateways that lose the store together ask different peers first', async () => {
	const asked: number[] = [];
	for (const place of [0, 0.3, 0.7]) {
		const {follower, slowPeers} = await startGateway(
			[0, 1, 2].map((index) => ({
				answerMs: 100,
				onLargeAnswer: () => asked.push(index),
			})),
			{drawRandom: () => place},
		);
		publish(slowPeers, 7);
		await waitUntil(
			() => follower.configurations.value?.version === 7,
			inForceMs,
		);
	}

	expect(asked).toEqual([0, 0, 2]);
});

// Guards against an old list that a slow link makes look new, so that it replaces a
// newer one and shows servers that have left.
test('a list is as old as it was when the query was sent, however long the answer takes', async () => {
	const smallAnswerDelayMs = 300;
	const {fleet} = await startGateway([{smallAnswerDelayMs}]);
	const listedAt = await waitUntil(() => fleet.hasBackends, inForceMs);
	expect(fleet.readAt).toBeLessThan(listedAt - smallAnswerDelayMs);
});

/** When a gateway needs peers for the configuration while the store's answer is under way. */
import {LifeCycle, type RoutingConfiguration} from 'bramleystage';
import {err, ok} from 'neverthrow';
import {Registry} from 'prom-client';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {
	type ConfigurationFollower,
	followConfiguration,
} from '../configuration-follower.js';
import {ConfigurationRecord} from '../configuration-record.js';
import type {ConfigurationRead, StorePort} from '../platform-port.js';
import {StoreContact} from '../store-contact.js';

type Answer = Awaited<ReturnType<StorePort['loadConfiguration']>>;

/** A call of the store under way; `arrive` reports bytes. */
type Call = {
	readonly name: 'load' | 'await';
	readonly from?: number;
	readonly arrive: () => void;
	readonly answer: (answer: Answer) => Promise<void>;
};

const lost = err({kind: 'lost' as const, detail: 'away'});

const buildRead = (version: number, next: number, era = 1) =>
	ok<ConfigurationRead>({
		era,
		configuration: {version, routes: []} as unknown as RoutingConfiguration,
		next,
		skipped: [],
	});

const buildEmptyRead = (next: number, era = 1) =>
	ok<ConfigurationRead>({era, next, skipped: []});

let lifeCycle: LifeCycle;
let calls: Call[];
let follower: ConfigurationFollower;
let events: string[];
let readMaxAgeMs: number;

/** Lets promises settle. */
const settle = async () => vi.advanceTimersByTimeAsync(0);

const takeCall = () => {
	const call = calls.shift();
	if (!call) {
		throw new Error('The store was not called.');
	}

	return call;
};

beforeEach(() => {
	vi.useFakeTimers();
	lifeCycle = new LifeCycle();
	calls = [];
	events = [];
	readMaxAgeMs = 0;
	const call = async (
		name: Call['name'],
		onArrival: (() => void) | undefined,
		from?: number,
	) =>
		new Promise<Answer>((resolve) => {
			calls.push({
				name,
				from,
				arrive() {
					onArrival?.();
				},
				async answer(answer) {
					onArrival?.();
					resolve(answer);
					await settle();
				},
			});
		});
	const log = (event: string) => {
		events.push(event);
	};

	const logger = {error: log, warn: log, info: log, debug: log};

	follower = followConfiguration({
		store: {
			loadConfiguration: async (onArrival?: () => void) =>
				call('load', onArrival),
			awaitConfiguration: async (
				from: number,
				_: number,
				onArrival?: () => void,
			) => call('await', onArrival, from),
		} as unknown as StorePort,
		readMaxAgeMs: () => readMaxAgeMs,
		recordStoreEra: () => undefined,
		contact: new StoreContact(),
		lifeCycle,
		record: new ConfigurationRecord(new Registry(), logger),
		logger,
		readClock: () => performance.now(),
	});
});

afterEach(async () => {
	vi.useRealTimers();
	await lifeCycle.stop();
});

// Guards against peers that are queried beside a load that brings the version.
test('while a load is under way, peers are not needed', async () => {
	expect(follower.isLoading()).toBe(true);
	await takeCall().answer(lost);
	expect(follower.isLoading()).toBe(false);
	follower.acceptVersion(7, performance.now());
	expect(follower.needsPeers()).toBe(true);
	await settle();
	const second = takeCall();
	// After a failed call, only bytes show that the store answers.
	expect(follower.isLoading()).toBe(false);
	expect(follower.needsPeers()).toBe(true);
	second.arrive();
	expect(follower.isLoading()).toBe(true);
	expect(follower.needsPeers()).toBe(false);
	await second.answer(buildRead(7, 3));
	expect(follower.isLoading()).toBe(false);
	expect(follower.needsPeers()).toBe(false);
});

test('a load that takes too long for a change in time no longer makes peers unnecessary', async () => {
	await takeCall().answer(lost);
	follower.acceptVersion(7, performance.now());
	await settle();
	const call = takeCall();
	call.arrive();
	await vi.advanceTimersByTimeAsync(1900);
	call.arrive();
	expect(follower.needsPeers()).toBe(false);
	await vi.advanceTimersByTimeAsync(200);
	call.arrive();
	expect(follower.isLoading()).toBe(false);
	expect(follower.needsPeers()).toBe(true);
});

test('a version that came from a peer during the load is applied once', async () => {
	const peerRead = buildRead(7, 3)._unsafeUnwrap();
	if (peerRead.configuration) {
		follower.acceptConfiguration(peerRead.configuration);
	}

	await takeCall().answer(buildRead(7, 3));
	expect(
		events.filter((event) => event === 'configuration.applied'),
	).toHaveLength(1);
	expect(calls).toHaveLength(1);
});

test('a poll without bytes is no load, and one call is open at a time', async () => {
	await takeCall().answer(buildRead(1, 3));
	expect(calls).toHaveLength(1);
	const poll = takeCall();
	expect(poll).toMatchObject({name: 'await', from: 3});
	expect(follower.isLoading()).toBe(false);
	poll.arrive();
	expect(follower.isLoading()).toBe(true);
	follower.acceptVersion(2, performance.now());
	await vi.advanceTimersByTimeAsync(1000);
	expect(calls).toHaveLength(0);
	await poll.answer(buildEmptyRead(3));
	expect(follower.isLoading()).toBe(false);
});

// Guards against an age that leaves out the time of a slow transfer.
test('the version is as old as the first bytes of the answer', async () => {
	await takeCall().answer(buildRead(1, 3));
	const poll = takeCall();
	await vi.advanceTimersByTimeAsync(300);
	poll.arrive();
	const arrivedAt = performance.now();
	await vi.advanceTimersByTimeAsync(1500);
	await poll.answer(buildRead(2, 4));
	expect(follower.readAt()).toBe(arrivedAt);
});

/** Loads version 1, then lets a peer inform the gateway. */
async function startInformed() {
	await takeCall().answer(buildRead(1, 3));
	readMaxAgeMs = 1100;
	await takeCall().answer(buildEmptyRead(3));
	expect(calls).toHaveLength(0);
}

/** Lets time pass in which a peer confirms the version in force. */
async function advanceInformed(durationMs: number) {
	for (let passedMs = 0; passedMs < durationMs; passedMs += 500) {
		follower.acceptVersion(1, performance.now());
		await vi.advanceTimersByTimeAsync(500);
	}
}

// Guards against loading the whole topic in base64 for one new record.
test('a gateway that hears of the next version reads on where it stopped', async () => {
	await startInformed();
	await advanceInformed(30_000);
	expect(calls).toHaveLength(0);
	follower.acceptVersion(2, performance.now());
	await settle();
	const call = takeCall();
	expect(call).toMatchObject({name: 'await', from: 3});
	expect(follower.isLoading()).toBe(true);
	await call.answer(buildRead(2, 4));
	expect(follower.configurations.value?.version).toBe(2);
	expect(calls).toHaveLength(0);
});

// Guards against loading the configuration that is in force each time a peer is late.
test('a gateway whose peer is late polls where it stopped', async () => {
	await startInformed();
	await advanceInformed(10_000);
	await vi.advanceTimersByTimeAsync(1200);
	expect(takeCall()).toMatchObject({name: 'await', from: 3});
});

// Guards against loading the whole topic for each version where the numbers of versions
// rise in uneven steps.
test('a gateway reads on where it stopped whatever the number of the newer version', async () => {
	await startInformed();
	follower.acceptVersion(5, performance.now());
	await settle();
	const call = takeCall();
	expect(call).toMatchObject({name: 'await', from: 3});
	await call.answer(buildRead(5, 4));
	expect(follower.configurations.value?.version).toBe(5);
});

test('the newest version is loaded when the offset is old', async () => {
	await startInformed();
	await advanceInformed(301_000);
	follower.acceptVersion(2, performance.now());
	await settle();
	expect(takeCall().name).toBe('load');
});

test('the newest version is loaded when one came from a peer and the next is new', async () => {
	await startInformed();
	follower.acceptConfiguration({
		version: 2,
		routes: [],
	} as unknown as RoutingConfiguration);
	follower.acceptVersion(3, performance.now());
	await settle();
	expect(takeCall().name).toBe('load');
});

test.for([
	{
		name: 'an offset that has expired',
		answer: err({kind: 'expired' as const, detail: 'gone'}),
	},
	{name: 'an offset of another era', answer: buildEmptyRead(3, 2)},
	{name: 'a page without the announced version', answer: buildEmptyRead(3)},
])('after $name, the newest version is loaded', async ({answer}) => {
	await startInformed();
	follower.acceptVersion(2, performance.now());
	await settle();
	await takeCall().answer(answer);
	await vi.advanceTimersByTimeAsync(150);
	const call = takeCall();
	expect(call.name).toBe('load');
	await call.answer(buildRead(2, 4, 2));
	expect(follower.configurations.value?.version).toBe(2);
	expect(events).not.toContain('store.lost');
	expect(follower.needsPeers()).toBe(false);
});

test('a version that the store lacks is asked of peers', async () => {
	await startInformed();
	follower.acceptVersion(2, performance.now());
	await settle();
	await takeCall().answer(buildEmptyRead(3));
	await vi.advanceTimersByTimeAsync(150);
	await takeCall().answer(buildRead(1, 3));
	expect(follower.needsPeers()).toBe(true);
	await vi.advanceTimersByTimeAsync(600);
	expect(takeCall().name).toBe('load');
});

test('a gateway that polls by itself loads the newest version at intervals', async () => {
	await takeCall().answer(buildRead(1, 3));
	for (let count = 0; count < 7; count++) {
		const poll = takeCall();
		expect(poll.name).toBe('await');
		await vi.advanceTimersByTimeAsync(750);
		await poll.answer(buildEmptyRead(3));
	}

	expect(takeCall().name).toBe('load');
});

// Guards against a gateway that waits for a silent store although a peer has the version.
test('peers are needed soon if the store does not give an announced version', async () => {
	await takeCall().answer(buildRead(1, 3));
	takeCall();
	follower.acceptVersion(2, performance.now(), '10.0.0.2:1');
	expect(follower.needsPeers()).toBe(false);
	expect(follower.findAnnouncer()).toBe('10.0.0.2:1');
	await vi.advanceTimersByTimeAsync(350);
	expect(follower.needsPeers()).toBe(true);
});

test('a load without a byte makes peers unnecessary only for a short time', async () => {
	readMaxAgeMs = 5000;
	await takeCall().answer(buildRead(1, 3));
	follower.acceptVersion(2, performance.now());
	await settle();
	const call = takeCall();
	await vi.advanceTimersByTimeAsync(350);
	expect(follower.needsPeers()).toBe(true);
	call.arrive();
	expect(follower.needsPeers()).toBe(false);
	await call.answer(buildRead(2, 4));
	expect(follower.findAnnouncer()).toBeUndefined();
});

// Guards against knowledge that looks new after a pause or a slow link.
test('an empty answer of a poll is as old as the end of its wait', async () => {
	await takeCall().answer(buildRead(1, 3));
	const startedAt = performance.now();
	const poll = takeCall();
	await vi.advanceTimersByTimeAsync(2500);
	await poll.answer(buildEmptyRead(3));
	expect(follower.readAt()).toBe(startedAt + 700);
});

// Guards against a version that is late since the page before it counted as all that there was.
test('a page that ends before the end of the log is no complete read, and the next one is read at once', async () => {
	await takeCall().answer(buildRead(1, 3));
	const {readAt} = follower;
	const knownAt = readAt();
	readMaxAgeMs = 1100;
	await vi.advanceTimersByTimeAsync(500);
	const page = buildRead(2, 7)._unsafeUnwrap();
	await takeCall().answer(ok({...page, hasMore: true}));
	expect(readAt()).toBe(knownAt);
	expect(takeCall()).toMatchObject({name: 'await', from: 7});
});

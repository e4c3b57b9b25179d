import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {encodeValueFrame, LifeCycle, waitFor} from 'bramleystage';
import {err, ok} from 'neverthrow';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {GatewayGroup, type GatewayGroupOptions} from '../gateway-group.js';
import {KnownMembers} from '../known-members.js';
import type {StorePort} from '../platform-port.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};
const self = '127.0.0.1:1';
const members = [self, '127.0.0.1:2', '127.0.0.1:3'];

let lifeCycle: LifeCycle;

beforeEach(() => {
	lifeCycle = new LifeCycle();
});

afterEach(async () => {
	await lifeCycle.stop();
});

/** Members that answer no check, so that those that are not listed are forgotten. */
function createKnown(seeds: readonly string[] = []): KnownMembers {
	const known = new KnownMembers({
		self,
		seeds,
		checkMember: async () => 'none',
		logger,
		readClock: () => performance.now(),
	});
	known.registerChecks(lifeCycle);
	return known;
}

const createGroup = (
	store: Partial<StorePort>,
	overrides: Partial<GatewayGroupOptions> = {},
) =>
	new GatewayGroup({
		store: store as StorePort,
		self,
		known: createKnown(),
		memberMs: 30,
		windowMs: 1000,
		isStoreUnreachable: () => false,
		readListReadAt: () => 0,
		findPeerState: () => undefined,
		findPeerGroup: () => undefined,
		isInformedByPeer: () => false,
		lifeCycle,
		logger,
		readClock: () => performance.now(),
		readLinkDelayMs: () => 0,
		...overrides,
	});

async function waitForSize(group: GatewayGroup, size: number): Promise<void> {
	const until = performance.now() + 5000;
	while (group.size !== size && performance.now() < until) {
		await waitFor(10);
	}

	expect(group.size).toBe(size);
}

test('members that could not be read after a change are read again', async () => {
	let reads = 0;
	const store: Partial<StorePort> = {
		joinGroup: async () => ok({generation: 1, era: 1}),
		async listMembers() {
			reads++;
			return reads === 1 ? err({kind: 'lost', detail: 'cut'}) : ok(members);
		},
	};
	const group = createGroup(store);
	await waitForSize(group, members.length);
	await waitFor(100);
	// Members that were read are not read again until the group changes.
	expect(reads).toBe(2);
});

test('after the store was restored, members are read again and the fencing token rises', async () => {
	let era = 1;
	let reads = 0;
	const store: Partial<StorePort> = {
		joinGroup: async () => ok({generation: era === 1 ? 9 : 2, era}),
		async listMembers() {
			reads++;
			return ok(era === 1 ? members : [self]);
		},
	};
	const group = createGroup(store, {memberMs: 3000, windowMs: 60_000});
	await waitForSize(group, 3);
	const fenceBefore = group.fence;
	era = 2;
	await waitForSize(group, 1);
	expect(reads).toBe(2);
	expect(group.fence).toBeGreaterThan(fenceBefore);
	const until = performance.now() + 5000;
	while (
		group.share.describe(performance.now()).lack !== 'nothing' &&
		performance.now() < until
	) {
		await waitFor(10);
	}

	// Members that the copy lacks still spend their shares.
	const {share} = group.share.describe(performance.now());
	expect(share).toBeCloseTo(1 / 3);
});

test('members come from an informed peer, and the store is read if the peer does not have them in time', async () => {
	let reads = 0;
	let generation = 1;
	let peerGroup = {fence: 2 ** 24 + 1, members};
	const store: Partial<StorePort> = {
		joinGroup: async () => ok({generation, era: 1}),
		async listMembers() {
			reads++;
			return ok([self]);
		},
	};
	const group = createGroup(store, {
		memberMs: 150,
		findPeerGroup: () => peerGroup,
		isInformedByPeer: () => true,
	});
	await waitForSize(group, 3);
	generation = 2;
	peerGroup = {fence: 2 ** 24 + 2, members: [self, ...members.slice(1, 2)]};
	await waitForSize(group, 2);
	expect(reads).toBe(0);
	generation = 3;
	await waitForSize(group, 1);
	expect(reads).toBe(1);
});

/** Starts a gateway that answers each query after a time, and returns its address. */
async function startSlowGateway(answerMs: number): Promise<string> {
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			setTimeout(() => {
				socket.end(encodeValueFrame({listAgeMs: 0, isStopping: false}));
			}, answerMs);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	lifeCycle.register(() => {
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against a gateway behind a full link that takes itself for the order leader.
test.each([
	{linkDelayMs: 0, isLeader: true},
	{linkDelayMs: 300, isLeader: false},
])(
	'a leader that answers after 550 ms is taken for lost only if the own link is not that slow ($linkDelayMs ms)',
	async ({linkDelayMs, isLeader}) => {
		const leader = await startSlowGateway(550);
		const group = createGroup(
			{
				joinGroup: async () => err({kind: 'lost', detail: 'cut'}),
			},
			{
				self: '127.0.0.2:1',
				known: createKnown([leader]),
				readLinkDelayMs: () => linkDelayMs,
			},
		);
		await waitFor(1000);
		expect(group.isLeader).toBe(isLeader);
	},
);

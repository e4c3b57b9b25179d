/** Turns at a limited server, between gateways of which some end, freeze or are cut off. */
import net from 'node:net';
import {once} from 'node:events';
import {LifeCycle, toBackendId, toInstanceKey} from 'bramleystage';
import {pickPort} from 'bramleystage-stand-ins';
import {Registry} from 'prom-client';
import {BehaviorSubject} from 'rxjs';
import {afterEach, expect, test} from 'vitest';
import type {Fleet} from '../fleet.js';
import {LimitWatch} from '../limit-watch.js';
import {PermitCircle} from '../permit-circle.js';
import {listenForPeers} from '../peer-server.js';
import {Permits} from '../permits.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};
const readClock = () => performance.now();
const readLinkDelayMs = () => 0;
const id = toBackendId('d1');
const instance = toInstanceKey('d1@1');
const snapshots = new BehaviorSubject({
	backends: new Map([[id, {id, bornAt: 1}]]),
}) as unknown as Fleet['snapshots'];

const lifeCycle = {current: new LifeCycle()};

afterEach(async () => {
	await lifeCycle.current.stop();
	lifeCycle.current = new LifeCycle();
});

/** Starts a server that accepts connections and never answers, as a frozen gateway does; returns its address. */
async function startFrozenPeer(): Promise<string> {
	const server = net.createServer();
	const sockets = new Set<net.Socket>();
	server.on('connection', (socket) => {
		sockets.add(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	lifeCycle.current.register(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** Picks addresses at which nothing listens yet. */
async function pickAddresses(count: number): Promise<string[]> {
	const addresses: string[] = [];
	for (let picked = 0; picked < count; picked++) {
		addresses.push(`127.0.0.1:${await pickPort()}`);
	}

	return addresses;
}

async function startPermits(
	self: string,
	members: readonly string[],
	perSecond: number,
): Promise<Permits> {
	const options = {
		self,
		listPeers: () => members.filter((address) => address !== self),
		fleet: {snapshots},
		registry: new Registry(),
		lifeCycle: lifeCycle.current,
		logger,
		readClock,
		readLinkDelayMs,
	};
	const limits = new LimitWatch(options);
	limits.acceptNews([{instance, perSecond, revision: 1}]);
	const permits = new Permits({...options, limits});
	await listenForPeers(
		self,
		{
			answer: () => ({listAgeMs: null, isStopping: false}),
			acceptPing: () => undefined,
			acceptPermitMessage(socket, message) {
				permits.accept(socket, message);
			},
		},
		lifeCycle.current,
		logger,
	);
	return permits;
}

/** Asks for turns at a rate above the limit for a while; returns when each was granted. */
async function takeTurns(
	all: readonly Permits[],
	durationMs: number,
): Promise<number[]> {
	const granted: number[] = [];
	const startedAt = readClock();
	let count = 0;
	while (readClock() - startedAt < durationMs) {
		const permits = all[count++ % all.length];
		permits?.acquire(
			id,
			{maxWaitMs: 1500, priority: 1, customer: 'gates'},
			(result) => {
				if (result.granted) {
					granted.push(readClock() - startedAt);
				}
			},
		);
		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
	}

	return granted;
}

/** Lists members so that the frozen one comes first in the order of the instance's owners; undefined if it doesn't. */
const isFirstOwner = (address: string, members: readonly string[]) =>
	new PermitCircle({
		self: members[0] ?? '',
		listPeers: () => members.slice(1),
		lifeCycle: new LifeCycle(),
		logger,
		readClock,
		readLinkDelayMs,
	}).listOwners(instance)[0] === address;

// Guards against turns that stop with a frozen owner, and against a second owner beside it.
test('a frozen gateway gives no turns, and one other gateway gives them instead', async () => {
	let frozen = await startFrozenPeer();
	const selves = await pickAddresses(3);
	while (!isFirstOwner(frozen, [...selves, frozen])) {
		frozen = await startFrozenPeer();
	}

	const members = [...selves, frozen];
	const all = await Promise.all(
		selves.map(async (self) => startPermits(self, members, 5)),
	);
	const granted = await takeTurns(all, 6000);
	const later = granted.filter((at) => at >= 2000 && at < 6000);
	expect(later.length).toBeGreaterThanOrEqual(0.9 * 5 * 4);
	expect(later.length).toBeLessThanOrEqual(5 * 4 + 2);
}, 20_000);

// Guards against gateways that each give the turns of one server, as each is asked by some.
test('gateways that can be reached by all have one owner for each server', async () => {
	const members = await pickAddresses(4);
	const all = await Promise.all(
		members.map(async (self) => startPermits(self, members, 5)),
	);
	const granted = await takeTurns(all, 4000);
	expect(granted.length).toBeGreaterThanOrEqual(0.9 * 5 * 4 - 1);
	expect(granted.length).toBeLessThanOrEqual(5 * 4 + 1);
}, 20_000);

// Guards against a request that a silent owner holds longer than it can wait.
test('a request that can not wait is refused soon, although the owner is silent', async () => {
	let frozen = await startFrozenPeer();
	const [self = ''] = await pickAddresses(1);
	while (!isFirstOwner(frozen, [self, frozen])) {
		frozen = await startFrozenPeer();
	}

	const permits = await startPermits(self, [self, frozen], 5);
	const startedAt = readClock();
	expect(await permits.tryAcquire(id, 0)).toBe(false);
	expect(readClock() - startedAt).toBeLessThan(250);
});

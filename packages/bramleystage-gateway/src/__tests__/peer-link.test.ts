/** A connection to a followed gateway whose updates are slow, stalled or never whole. */
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {
	type Backend,
	encodeValueFrame,
	LifeCycle,
	toBackendId,
	toDataCentreId,
	toServiceName,
	waitFor,
} from 'bramleystage';
import {afterEach, expect, test} from 'vitest';
import {isPeerLost, PeerLink} from '../peer-link.js';
import {PeerLinks} from '../peer-links.js';
import {buildPeerUpdate} from '../peer-update.js';
import {noCrashes} from './no-crashes.js';
import {noLimits} from './no-limits.js';
import {silentLogger} from './slow-peer.js';

const pieceIntervalMs = 100;
const readClock = () => performance.now();

const cleanUps: Array<() => void> = [];

afterEach(() => {
	for (const cleanUp of cleanUps.splice(0)) {
		cleanUp();
	}
});

const buildBackend = (index: number): Backend => ({
	id: toBackendId(String(index)),
	service: toServiceName('desk'),
	address: `10.0.0.1:${index}`,
	dataCentre: toDataCentreId('a'),
	isDraining: false,
	models: [],
	slots: 6,
	bornAt: 0,
});

/** Encodes an update with a list of backend servers, written for a ping. */
const encodeUpdate = (beatAt: number, now: number): Buffer =>
	encodeValueFrame(
		buildPeerUpdate(
			{
				version: 7,
				configurationReadAt: now,
				listReadAt: now,
				backends: new Map(
					Array.from({length: 100}, (_, index) => buildBackend(index)).map(
						(backend) => [backend.id, backend],
					),
				),
			},
			{backends: new Map()},
			{beatAt, arrivedAt: now},
			now,
		),
	);

/** Starts a peer that sends as told on each connection, and a link to it. */
async function startLink(send: (socket: Socket) => Promise<void>) {
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.resume();
		cleanUps.push(() => {
			socket.destroy();
		});
		void send(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const startedAt = readClock();
	let updates = 0;
	let endedAt: number | undefined;
	const link = new PeerLink({
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		logger: silentLogger,
		readClock,
		onUpdate() {
			updates++;
		},
		crashes: noCrashes,
		limits: noLimits,
		readGroupFence: () => undefined,
		recordLinkEvent: () => undefined,
		onEnd() {
			endedAt = readClock();
		},
	});
	cleanUps.push(() => {
		link.close();
		server.close();
	});
	return {
		link,
		countUpdates: () => updates,
		readEndMs: () => (endedAt === undefined ? undefined : endedAt - startedAt),
	};
}

/** Sends an update in pieces until it is whole, or only the first `limit` of them. */
async function sendSlowly(
	socket: Socket,
	update: Buffer,
	{pieces, limit = pieces}: {pieces: number; limit?: number},
) {
	const size = Math.ceil(update.length / pieces);
	for (let index = 0; index < limit && !socket.destroyed; index++) {
		socket.write(update.subarray(index * size, (index + 1) * size));

		await waitFor(pieceIntervalMs);
	}
}

// Guards against a peer on a slow link that is given up, and its list sent again from the start, for ever.
test('an update that is under way for longer than three pings arrives', async () => {
	const {countUpdates, readEndMs} = await startLink(async (socket) => {
		const now = readClock();
		await sendSlowly(socket, encodeUpdate(now, now), {pieces: 25});
	});
	await waitFor(3200);
	expect(countUpdates()).toBe(1);
	expect(readEndMs() ?? Number.POSITIVE_INFINITY).toBeGreaterThan(2500);
});

// Guards against decisions by a state that is older than three pings, because bytes arrive.
test('a peer whose update is under way does not count as alive', async () => {
	const {link} = await startLink(async (socket) => {
		const now = readClock();
		socket.write(encodeUpdate(now, now));
		await sendSlowly(socket, encodeUpdate(now, now), {pieces: 25});
	});
	await waitFor(500);
	expect(link.isAlive(readClock())).toBe(true);
	await waitFor(700);
	expect(link.isAlive(readClock())).toBe(false);
	await waitFor(2000);
	// It has arrived, and is as old as the ping that it repeats.
	expect(link.isAlive(readClock())).toBe(false);
});

// Guards against a dead peer that is noticed late.
test.each([0, 3])(
	'a peer that is silent after %i pieces is lost',
	async (limit) => {
		const {readEndMs} = await startLink(async (socket) => {
			const now = readClock();
			const update = encodeUpdate(now, now);
			await sendSlowly(socket, update, {pieces: 25, limit});
		});
		await waitFor(2000);
		expect(readEndMs()).toBeGreaterThan(800);
		expect(readEndMs()).toBeLessThan(1800);
	},
);

// Guards against a peer that is followed for ever because it sends a byte now and then.
test('a peer that sends bytes without a complete update is lost after twelve seconds', () => {
	const never = Number.NEGATIVE_INFINITY;
	const contact = {openedAt: 1000, updateAt: never};
	expect(isPeerLost({...contact, bytesAt: 12_900}, 12_999)).toBe(false);
	expect(isPeerLost({...contact, bytesAt: 13_000}, 13_000)).toBe(true);
	const updated = {openedAt: 1000, updateAt: 5000};
	expect(isPeerLost({...updated, bytesAt: 16_900}, 16_999)).toBe(false);
	expect(isPeerLost({...updated, bytesAt: 17_000}, 17_000)).toBe(true);
});

test('a peer is lost after three pings without a byte, also before the first', () => {
	const never = Number.NEGATIVE_INFINITY;
	const contact = {openedAt: 1000, bytesAt: never, updateAt: never};
	expect(isPeerLost(contact, 1899)).toBe(false);
	expect(isPeerLost(contact, 1900)).toBe(true);
	expect(isPeerLost({...contact, bytesAt: 1500}, 2399)).toBe(false);
	expect(isPeerLost({...contact, bytesAt: 1500}, 2400)).toBe(true);
});

// Guards against a list that is sent again from its first byte by another peer, over a slow link.
test('a followed peer is not left for the age of its list while its update is under way', async () => {
	const lifeCycle = new LifeCycle();
	const connections = new Map<string, number>();
	const peers: string[] = [];
	for (let count = 0; count < 3; count++) {
		const server = createServer((socket) => {
			const address = `127.0.0.1:${socket.localPort}`;
			connections.set(address, (connections.get(address) ?? 0) + 1);
			socket.on('error', () => undefined);
			socket.resume();
			cleanUps.push(() => {
				socket.destroy();
			});
			const now = readClock();
			void sendSlowly(socket, encodeUpdate(now, now), {pieces: 25});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		cleanUps.push(() => {
			server.close();
		});
		peers.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	}

	let updates = 0;
	// eslint-disable-next-line no-new
	new PeerLinks({
		listPeers: () => peers,
		onUpdate() {
			updates++;
		},
		crashes: noCrashes,
		limits: noLimits,
		readGroupFence: () => undefined,
		recordLinkEvent: () => undefined,
		lifeCycle,
		logger: silentLogger,
		readClock,
	});
	await waitFor(2200);
	expect([...connections.values()]).toEqual([1, 1]);
	await waitFor(1000);
	expect(updates).toBeGreaterThan(0);
	await lifeCycle.stop();
});

/** The delay of the own link, measured over connections to peers in this process. */
import {once} from 'node:events';
import net from 'node:net';
import {
	encodeValueFrame,
	LifeCycle,
	type LogFields,
	waitFor,
} from 'bramleystage';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {OwnLink} from '../own-link.js';
import {listenForFrames} from '../peer-frames.js';
import {PeerLinks} from '../peer-links.js';
import {
	buildPeerUpdate,
	createPeerState,
	type Ping,
	pingSchema,
} from '../peer-update.js';
import {RequestRecorder} from '../request-recorder.js';
import {noCrashes} from './no-crashes.js';
import {noLimits} from './no-limits.js';

const readClock = () => performance.now();
const heldMs = 30;

let lifeCycle: LifeCycle;
let lines: Array<readonly [string, LogFields | undefined]>;
let replyDelayMs: number;

const recordLine = (event: string, fields?: LogFields) => {
	lines.push([event, fields]);
};

const logger = {
	error: recordLine,
	warn: recordLine,
	info: recordLine,
	debug: () => undefined,
};

beforeEach(() => {
	lifeCycle = new LifeCycle();
	lines = [];
	replyDelayMs = 0;
});

afterEach(async () => {
	await lifeCycle.stop();
});

/** Starts a peer that holds each ping for a time, and whose updates come later by the reply delay. */
async function startPeer(): Promise<string> {
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		listenForFrames(socket, (value) => {
			const {beatAt}: Ping = pingSchema.parse(value._unsafeUnwrap());
			const arrivedAt = readClock();
			const state = createPeerState();
			setTimeout(() => {
				const update = buildPeerUpdate(
					state,
					{backends: new Map()},
					{beatAt, arrivedAt},
					arrivedAt + heldMs,
				);
				socket.write(encodeValueFrame(update));
			}, heldMs + replyDelayMs);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	lifeCycle.register(() => {
		server.close();
	});
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

test('late answers of all peers are a delay of the own link, with a line and a metric', async () => {
	const peers = [await startPeer(), await startPeer()].toSorted();
	const recorder = new RequestRecorder(logger, readClock, () => 0);
	const ownLink = new OwnLink({recorder, lifeCycle, logger, readClock});
	const links = new PeerLinks({
		listPeers: () => peers,
		onUpdate: () => undefined,
		crashes: noCrashes,
		limits: noLimits,
		readGroupFence: () => undefined,
		recordLinkEvent(event) {
			ownLink.record(event);
		},
		lifeCycle,
		logger,
		readClock,
	});
	await waitFor(700);
	expect(peers.every((peer) => links.findPeerState(peer))).toBe(true);
	expect(lines.map(([event]) => event)).not.toContain('link.slow');
	replyDelayMs = 200;
	await waitFor(900);
	expect(ownLink.delayMs).toBeGreaterThanOrEqual(190);
	expect(await recorder.registry.metrics()).toMatch(
		/^bramleystage_gateway_link_delay_seconds 0\.[123]/mv,
	);
	const slow = lines.find(([event]) => event === 'link.slow');
	expect(slow?.[1]?.delay_ms).toBeGreaterThan(100);
	replyDelayMs = 0;
	await waitFor(2000);
	expect(ownLink.delayMs).toBeLessThan(100);
	expect(lines.map(([event]) => event)).toEqual(['link.slow', 'link.normal']);
});

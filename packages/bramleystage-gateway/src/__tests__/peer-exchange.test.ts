/** Gateways of two builds query each other while one replaces the other. */
import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {
	encodeValueFrame,
	type Failure,
	LifeCycle,
	parseAddress,
} from 'bramleystage';
import type {Result} from 'neverthrow';
import {afterEach, expect, test} from 'vitest';
import {sendPeerQuery} from '../peer-exchange.js';
import {listenForFrames} from '../peer-frames.js';
import {
	buildConfiguration,
	createLinkRecord,
	startSlowPeer,
} from './slow-peer.js';

const configuration = buildConfiguration(7, 100);
let lifeCycle = new LifeCycle();
afterEach(async () => {
	await lifeCycle.stop();
	lifeCycle = new LifeCycle();
});

async function startPeer(): Promise<string> {
	const {address, follower} = await startSlowPeer({
		record: createLinkRecord(),
		lifeCycle,
		answerMs: 0,
	});
	follower.configurations.next(configuration);
	return address;
}

/** Sends a value as an older build does and returns the value of the answer. */
async function sendRaw(address: string, query: object): Promise<unknown> {
	const socket = connect({...parseAddress(address)});
	socket.write(encodeValueFrame(query));
	const answer = await new Promise<Result<unknown, Failure>>((resolve) => {
		listenForFrames(socket, resolve);
	});
	socket.destroy();
	return answer._unsafeUnwrap();
}

/** Starts a server that gives one answer to any query, as an older build does. */
async function startOldPeer(answer: object): Promise<string> {
	const server = createServer((socket) => {
		socket.once('data', () => socket.end(encodeValueFrame(answer)));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	lifeCycle.register(() => {
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const blank = {listAgeMs: null, isStopping: false};
const query = {version: 6, listAgeMs: 0, acceptsCompressed: true};

// Guards against a form that a gateway of an older build can't read.
test('a query of an older build gets the plain configuration', async () => {
	const address = await startPeer();
	const answer = await sendRaw(address, {version: 6, listAgeMs: 0});
	expect(answer).toMatchObject({configuration});
	expect(answer).not.toHaveProperty('compressedConfiguration');
});

// Guards against the plain form between two gateways of this build.
test('a query that accepts it gets the compressed configuration alone', async () => {
	const address = await startPeer();
	const answer = await sendRaw(address, query);
	expect(answer).toHaveProperty('compressedConfiguration');
	expect(answer).not.toHaveProperty('configuration');
	expect(answer).not.toHaveProperty('list');
	const received = await sendPeerQuery(address, query);
	expect(received._unsafeUnwrap().configuration).toEqual(configuration);
});

// Guards against gateways that can't learn from those of an older build.
test('the plain answer of an older build is read', async () => {
	const address = await startOldPeer({...blank, configuration});
	const received = await sendPeerQuery(address, query);
	expect(received._unsafeUnwrap().configuration).toEqual(configuration);
});

// Guards against a value in force that is no configuration.
test('a compressed value that is no configuration is refused', async () => {
	const address = await startOldPeer({
		...blank,
		compressedConfiguration: Buffer.from('none'),
	});
	const received = await sendPeerQuery(address, query);
	expect(received._unsafeUnwrapErr().arrivedBytes).toBeGreaterThan(0);
});

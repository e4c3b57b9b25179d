import {connect, createServer, type Socket} from 'node:net';
import {expect, test} from 'vitest';
import {toDataCentreId, toHostId, toIncarnation} from '../../protocol/ids.js';
import {FrameDecoder} from '../framing.js';
import {startServer} from '../session-listener.js';
import {Session} from '../session.js';
import {waitFor} from '../session-pool.js';

const timing = {
	heartbeatMs: 20,
	idleHeartbeatMs: 20,
	silenceMs: 100,
	handshakeMs: 100,
};

async function startPair() {
	const accepted: Socket[] = [];
	const server = createServer((socket) => {
		accepted.push(socket);
	});
	const address = await startServer(server, '127.0.0.1:0');
	const port = Number(address.split(':')[1]);
	const socket = connect({host: '127.0.0.1', port});
	await expect.poll(() => accepted.length).toBe(1);
	const create = (one: Socket) =>
		new Session(
			one,
			{
				host: toHostId('h'),
				role: 'agent',
				dataCentre: toDataCentreId('d'),
				incarnation: toIncarnation('i'),
			},
			new FrameDecoder(),
		);
	return {server, near: create(socket), far: create(accepted[0]!)};
}

const describeSelf = () => ({leaving: false});

test('a session outlives a pause of its process', async () => {
	const {server, near, far} = await startPair();
	near.start({timing, describeSelf});
	far.start({timing, describeSelf});
	await waitFor(50);
	// Keeps the loop from running, as a pause of the process would.
	const until = performance.now() + 4 * timing.silenceMs;
	while (performance.now() < until);
	await waitFor(50);
	expect([near.isClosed, far.isClosed]).toEqual([false, false]);
	near.close({result: 'stopping', outcome: 'unknown', detail: ''});
	await far.closed;
	server.close();
});

test('a session to a silent peer is closed', async () => {
	const {server, near, far} = await startPair();
	near.start({timing, describeSelf});
	const reason = await near.closed;
	expect(reason.result).toBe('backendLost');
	far.close({result: 'stopping', outcome: 'unknown', detail: ''});
	server.close();
});

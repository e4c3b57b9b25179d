import {connect, createServer, type Socket} from 'node:net';
import {expect, test} from 'vitest';
import {toDataCentreId, toHostId, toIncarnation} from '../../protocol/ids.js';
import {FrameDecoder} from '../framing.js';
import {startServer} from '../listening.js';
import {Session} from '../session.js';
import {waitFor} from '../wait-for.js';

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
	const createSession = (one: Socket) =>
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
	return {
		server,
		local: createSession(socket),
		remote: createSession(accepted[0]!),
	};
}

const describeSelf = () => ({leaving: false});

test('a session survives a pause of its process', async () => {
	const {server, local, remote} = await startPair();
	local.start({timing, describeSelf});
	remote.start({timing, describeSelf});
	await waitFor(50);
	// Blocks the event loop, as a pause of the process would.
	const until = performance.now() + 4 * timing.silenceMs;
	while (performance.now() < until);
	await waitFor(50);
	expect([local.isClosed, remote.isClosed]).toEqual([false, false]);
	local.close({result: 'stopping', outcome: 'unknown', detail: ''});
	await remote.closed;
	server.close();
});

test('a session to a silent peer is closed', async () => {
	const {server, local, remote} = await startPair();
	local.start({timing, describeSelf});
	const reason = await local.closed;
	expect(reason.result).toBe('backendLost');
	remote.close({result: 'stopping', outcome: 'unknown', detail: ''});
	server.close();
});

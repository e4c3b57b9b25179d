import {once} from 'node:events';
import net from 'node:net';
import {toDataCentreId} from 'bramleystage';
import {err} from 'neverthrow';
import {expect, test} from 'vitest';
import {startGateway} from '../gateway.js';
import type {PlatformPort, StorePort} from '../platform-port.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};

async function listenOnFreePort(port = 0): Promise<net.Server> {
	const server = net.createServer();
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return server;
}

const readPort = (server: net.Server) =>
	(server.address() as net.AddressInfo).port;

test('a gateway that cannot listen leaves nothing running', async () => {
	const failCall = async () => err({kind: 'lost' as const, detail: 'away'});
	const store: StorePort = {
		loadConfiguration: failCall,
		awaitConfiguration: failCall,
		loadBackends: failCall,
		readBackends: failCall,
		joinGroup: failCall,
		leaveGroup: failCall,
		listMembers: failCall,
		loadRecord: failCall,
		saveRecord: failCall,
	};
	const taken = await listenOnFreePort();
	const free = await listenOnFreePort();
	const peerPort = readPort(free);
	free.close();
	await once(free, 'close');
	const starting = startGateway(
		{
			host: 'gateway-0',
			dataCentre: toDataCentreId('a'),
			listen: '127.0.0.1:0',
			readyListen: `127.0.0.1:${readPort(taken)}`,
			peerListen: `127.0.0.1:${peerPort}`,
			seeds: [],
			isFirstStart: true,
			graceMs: 1000,
			heartbeatMs: 1000,
			memberMs: 9000,
			retryRatio: 0.2,
			retrySlack: 100,
			retryWindowMs: 10_000,
			stallMs: 2000,
			toleratedLosses: 1,
		},
		{store, engines: {}, headers: {}} as unknown as PlatformPort,
		logger,
	);
	await expect(starting).rejects.toThrow('EADDRINUSE');
	// The port for peers, which was opened first, is free again.
	const again = await listenOnFreePort(peerPort);
	again.close();
	taken.close();
});

/** The time limit for a connection when the process itself is held up. */
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {openTimedAttempt} from '../timed-attempt.js';

const timeoutMs = 100;

// Guards against servers that count as unreachable because this process did not run
// while their connection was accepted.
test('a connection that was accepted while the process was busy is in time', async () => {
	const server = http.createServer((_request, response) => {
		response.end('done');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const outcome = new Promise<string>((resolve) => {
		openTimedAttempt(
			{
				address: `127.0.0.1:${port}`,
				method: 'GET',
				target: '/',
				headers: [['Host', 'test']],
				body: Buffer.alloc(0),
				isHeld: () => true,
				hasServerEnded: async () => false,
			},
			{timeoutMs, readLinkDelayMs: () => 0, readClock: () => performance.now()},
			{
				onHead: () => undefined,
				onData: () => undefined,
				onEnd() {
					resolve('complete');
				},
				onFail({detail}) {
					resolve(detail);
				},
			},
		);
	});
	await waitForImmediate();
	const busyUntil = performance.now() + 5 * timeoutMs;
	while (performance.now() < busyUntil) {
		// Keeps the event loop busy.
	}

	expect(await outcome).toBe('complete');
	server.close();
});

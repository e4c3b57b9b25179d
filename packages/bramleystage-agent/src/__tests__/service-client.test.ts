import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
	type Call,
	toCustomerId,
	toIncarnation,
	toRequestId,
	toServiceName,
} from 'bramleystage';
import {afterEach, expect, test} from 'vitest';
import {ServiceClient} from '../service-client.js';

const server = http.createServer((request, response) => {
	sockets.add(request.socket);
	response.end('done');
});
const sockets = new Set<Socket>();

afterEach(() => {
	server.close();
	server.closeAllConnections();
	sockets.clear();
});

const createCall = (idempotent: boolean): Call => ({
	type: 'call',
	request: toRequestId('r'),
	incarnation: toIncarnation('i'),
	customer: toCustomerId('c'),
	service: toServiceName('s'),
	weight: 1,
	priority: 5,
	idempotent,
	method: idempotent ? 'GET' : 'POST',
	path: '/',
	headers: [],
	body: Buffer.alloc(0),
	deadlineMs: 1000,
});

async function runCalls(idempotent: boolean): Promise<number> {
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const client = new ServiceClient(`http://127.0.0.1:${port}`);
	for (let count = 0; count < 3; count++) {
		const {signal} = new AbortController();
		const response = await client.runCall(createCall(idempotent), 1000, signal);
		expect(response.isOk()).toBe(true);
	}

	client.close();
	return sockets.size;
}

test('a call that is not idempotent uses a new connection', async () => {
	expect(await runCalls(false)).toBe(3);
});

test('idempotent calls share a kept-alive connection', async () => {
	expect(await runCalls(true)).toBe(1);
});

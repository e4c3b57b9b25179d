import http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {
	type Call,
	toCustomerId,
	toIncarnation,
	toRequestId,
	toServiceName,
	waitFor,
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

test('an idempotent call uses a new connection too', async () => {
	expect(await runCalls(true)).toBe(3);
});

test('a second copy of an answer that arrives late is not the answer of the next call', async () => {
	let answers = 0;
	const repeating = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			const body = `answer ${++answers}`;
			const bytes = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
			socket.write(bytes);
			setTimeout(() => {
				socket.write(bytes);
			}, 20);
		});
	});
	await new Promise<void>((resolve) => {
		repeating.listen(0, '127.0.0.1', resolve);
	});
	const {port} = repeating.address() as AddressInfo;
	const client = new ServiceClient(`http://127.0.0.1:${port}`);
	const bodies: string[] = [];
	for (let count = 0; count < 3; count++) {
		const {signal} = new AbortController();
		const response = await client.runCall(createCall(true), 1000, signal);
		bodies.push(response._unsafeUnwrap().body.toString());
		await waitFor(40);
	}

	client.close();
	repeating.close();
	expect(bodies).toEqual(['answer 1', 'answer 2', 'answer 3']);
});

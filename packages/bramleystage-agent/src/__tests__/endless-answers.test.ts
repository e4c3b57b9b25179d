/** An engine or a service beside the agent whose answers never end. */
import process from 'node:process';
import {once} from 'node:events';
import net, {type AddressInfo, type Socket} from 'node:net';
import {
	type Call,
	toCustomerId,
	toIncarnation,
	toRequestId,
	toServiceName,
	waitFor,
} from 'bramleystage';
import {
	buildEndlessBodies,
	buildEndlessHeads,
	type EndlessAnswer,
	type EndlessServer,
	startEndlessServer,
} from 'bramleystage-stand-ins';
import {afterEach, expect, test} from 'vitest';
import {EngineClient} from '../engine-client.js';
import type {EngineStep} from '../engine-steps.js';
import {ServiceClient} from '../service-client.js';

/** Growth of the process's memory, the stand-in's share included, in bytes. */
const maxGrowthBytes = 100 * 1024 * 1024;
/** Bytes that a server may send on one connection, with what the kernel's buffers of both ends take. */
const maxSentBytes = 48 * 1024 * 1024;

const okHead = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const bodies = buildEndlessBodies();
const kinds = Object.entries({...buildEndlessHeads(), ...bodies});
const closers: Array<() => Promise<void> | void> = [];

afterEach(async () => {
	await Promise.all(closers.splice(0).map(async (close) => close()));
});

async function startServer(answer: EndlessAnswer): Promise<EndlessServer> {
	const server = await startEndlessServer(answer);
	closers.push(async () => server.close());
	return server;
}

function createEngineClient(address: string): EngineClient {
	const client = new EngineClient(`http://${address}`);
	closers.push(() => {
		client.close();
	});
	return client;
}

const measureMemory = () => {
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
};

/** Runs an action and measures the largest growth of the memory in use meanwhile, in bytes, and its time. */
async function measureRun<T>(run: () => Promise<T>) {
	const before = measureMemory();
	const startedAt = performance.now();
	let growth = 0;
	const timer = setInterval(() => {
		growth = Math.max(growth, measureMemory() - before);
	}, 10);
	const value = await run();
	clearInterval(timer);
	return {value, growth, tookMs: performance.now() - startedAt};
}

async function checkClosed(server: EndlessServer, maxOpenMs: number) {
	await waitFor(100);
	expect(server.connections.length).toBeGreaterThan(0);
	for (const {closedAfterMs, sentBytes} of server.connections) {
		expect(closedAfterMs ?? Infinity).toBeLessThan(maxOpenMs);
		expect(sentBytes).toBeLessThan(maxSentBytes);
	}
}

const step = {
	open: {
		request: toRequestId('r'),
		stages: [{fromLayer: 0, toLayer: 4}],
		index: 0,
		priority: 5,
	},
	sequence: 1,
	position: 0,
	input: {kind: 'token', token: 1},
} as unknown as EngineStep;

const call: Call = {
	type: 'call',
	request: toRequestId('r'),
	incarnation: toIncarnation('i'),
	customer: toCustomerId('c'),
	service: toServiceName('s'),
	weight: 1,
	priority: 5,
	idempotent: false,
	method: 'POST',
	path: '/',
	headers: [],
	body: Buffer.alloc(0),
	deadlineMs: 1000,
};

test.each(kinds)(
	'endless %s: a call ends as one that may have run, and its connection is closed',
	async (_kind, answer) => {
		const server = await startServer(answer);
		const client = new ServiceClient(`http://${server.address}`);
		closers.push(() => {
			client.close();
		});
		const {value, growth} = await measureRun(async () =>
			client.runCall(call, 800, new AbortController().signal),
		);
		const failure = value._unsafeUnwrapErr();
		expect(['unknown', 'ran']).toContain(failure.outcome);
		await checkClosed(server, 1200);
		expect(growth).toBeLessThan(maxGrowthBytes);
	},
);

test.each(kinds)(
	'endless %s: an engine makes no offer',
	async (_kind, answer) => {
		const server = await startServer(answer);
		const client = createEngineClient(server.address);
		const {value, growth} = await measureRun(async () => client.readOffer());
		expect(value).toBeUndefined();
		await checkClosed(server, 1400);
		expect(growth).toBeLessThan(maxGrowthBytes);
	},
);

test.each([
	['a line', 'x'],
	['lines that are no output', '{"none":1}\n'],
	['empty lines', '\n'],
	[
		'outputs of unknown steps',
		'{"sequence":"other.1","position":0,"values":[1]}\n',
	],
])(
	'an engine that sends %s without end fails the step',
	async (_kind, text) => {
		const data = text.repeat(Math.ceil(1000 / text.length));
		const server = await startServer({
			start: okHead,
			filler: `${data.length.toString(16)}\r\n${data}\r\n`,
		});
		const client = createEngineClient(server.address);
		const {value, growth, tookMs} = await measureRun(async () =>
			client.runStep(step),
		);
		expect(value._unsafeUnwrapErr().outcome).toBe('unknown');
		expect(tookMs).toBeLessThan(3500);
		await checkClosed(server, 1200);
		expect(growth).toBeLessThan(maxGrowthBytes);
	},
);

test('an engine that goes on sending after a complete answer loses the connection, and the next step has another', async () => {
	const sockets = new Set<Socket>();
	const output = JSON.stringify({sequence: 'r.1', position: 0, values: [1]});
	const filler = 'x'.repeat(1000);
	const server = net.createServer((socket) => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(
				`HTTP/1.1 200 OK\r\ncontent-length: ${output.length + 1}\r\n\r\n${output}\n`,
			);
			const timer = setInterval(() => {
				socket.write(filler);
			}, 20);
			socket.on('close', () => {
				clearInterval(timer);
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const client = createEngineClient(`127.0.0.1:${port}`);
	const first = await client.runStep(step);
	expect(first.isOk()).toBe(true);
	await waitFor(300);
	expect([...sockets].every((socket) => socket.destroyed)).toBe(true);
	const second = await client.runStep(step);
	expect(second.isOk()).toBe(true);
	expect(sockets.size).toBe(2);
});

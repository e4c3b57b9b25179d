/** An engine or a service beside the agent whose answers have a status that no answer can have. */
import net, {type AddressInfo} from 'node:net';
import {
	type Call,
	toCustomerId,
	toIncarnation,
	toRequestId,
	toServiceName,
} from 'bramleystage';
import {afterEach, expect, test} from 'vitest';
import {EngineClient} from '../engine-client.js';
import type {EngineStep} from '../engine-steps.js';
import {ServiceClient} from '../service-client.js';

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

/** Starts a server that answers each request with a status and a body; returns its URL. */
async function startServer(status: string, body: string): Promise<string> {
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end(
				`HTTP/1.1 ${status} None\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
			);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	closers.push(() => {
		server.close();
	});
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
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

// Guards against tokens that reach callers from an answer that is none.
test.each([
	{status: '200', isUsed: true},
	{status: '000', isUsed: false},
	{status: '099', isUsed: false},
	{status: '500', isUsed: false},
])(
	'whether outputs of steps in an answer of status $status count: $isUsed',
	async ({status, isUsed}) => {
		const line = JSON.stringify({sequence: 'r.1', position: 0, values: [1]});
		const client = new EngineClient(await startServer(status, `${line}\n`));
		closers.push(() => {
			client.close();
		});
		const result = await client.runStep(step);
		expect(result.isOk()).toBe(isUsed);
	},
);

const call: Call = {
	type: 'call',
	request: toRequestId('r'),
	incarnation: toIncarnation('i'),
	customer: toCustomerId('c'),
	service: toServiceName('s'),
	weight: 1,
	priority: 5,
	idempotent: false,
	method: 'GET',
	path: '/',
	headers: [],
	body: Buffer.alloc(0),
} as unknown as Call;

test.each(['000', '099'])(
	'an answer of status %s to a call of a service is a failure',
	async (status) => {
		const client = new ServiceClient(await startServer(status, 'ok'));
		closers.push(() => {
			client.close();
		});
		const answer = await client.runCall(
			call,
			2000,
			new AbortController().signal,
		);
		expect(answer.isErr()).toBe(true);
	},
);

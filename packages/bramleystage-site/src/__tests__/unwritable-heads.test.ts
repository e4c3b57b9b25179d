/** Heads that Node's parser accepts and its writer rejects, at the entry and the agents of the own interface. */
import {once} from 'node:events';
import net, {connect, type AddressInfo} from 'node:net';
import {
	createFailure,
	createLogger,
	parseAddress,
	toCustomerId,
	toIncarnation,
	toRequestId,
	toServiceName,
} from 'bramleystage';
import {ServiceClient} from 'bramleystage-agent';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {deployments, formatSampleApiKey} from '../deployments.js';
import {type Site, startSite} from '../site.js';

const deployment = deployments.kaleli;
const authorization = `Bearer ${formatSampleApiKey(deployment.customers[0] ?? '')}`;
const path = '/v1/services/ticket-office/bookings';
const body = '{"reference":"odd-head"}';

let site: Site;
let address: string;

beforeAll(async () => {
	site = await startSite(deployment, createLogger('error', {}), {});
	address = site.entries[0]?.address ?? '';
});

afterAll(async () => {
	await site.stop();
});

async function sendRaw(target: string, field: string): Promise<string> {
	const {host, port} = parseAddress(address);
	const socket = connect({host, port});
	let text = '';
	socket.setTimeout(5000, () => {
		socket.destroy();
	});
	socket.on('data', (chunk: Buffer) => {
		text += chunk.toString();
	});
	socket.write(
		`POST ${target} HTTP/1.1\r\nhost: site\r\nauthorization: ${authorization}\r\n${field}` +
			`content-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`,
	);
	await once(socket, 'close');
	return text;
}

// Guards against a caller's header that ends the agent that sends it on.
test.each([
	[path, 'x odd: 1\r\n'],
	[path, ': 1\r\n'],
	[`${path}\ta`, ''],
])(
	'a request that can not be sent on is refused: %j %j',
	async (target, field) => {
		const answer = await sendRaw(target, field);
		expect(answer).toMatch(/^HTTP\/1\.1 400 /v);
		expect(answer).toContain('"type":"badHttp"');
		expect(await sendRaw(path, '')).toMatch(/^HTTP\/1\.1 201 /v);
	},
);

// Guards against headers that are taken for properties of every object, and end the agent.
test.each(['__proto__', 'constructor', 'toString'])(
	'a header named %s is sent on as any other',
	async (name) => {
		expect(await sendRaw(path, `${name}: 1\r\n`)).toMatch(/^HTTP\/1\.1 201 /v);
	},
);

// Guards against a status that ends the entry that writes it.
test('an answer with a status that ends no request is a failure of the service', async () => {
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end('HTTP/1.1 099 None\r\ncontent-length: 0\r\n\r\n');
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const client = new ServiceClient(`http://127.0.0.1:${port}`);
	const result = await client.runCall(
		{
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
		},
		1000,
		new AbortController().signal,
	);
	client.close();
	server.close();
	expect(result._unsafeUnwrapErr()).toEqual(
		createFailure('backendLost', 'Status 99 ends no request.'),
	);
});

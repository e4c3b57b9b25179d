/** Bad input to the callers' port, over real HTTP: no backend server is touched. */
import {connect} from 'node:net';
import {createLogger, parseAddress, waitFor} from 'bramleystage';
import type {RequestRecord} from 'bramleystage-entry';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {deployments, formatSampleKey} from '../deployments.js';
import {type Site, startSite} from '../site.js';

const deployment = deployments.kaleli;
const bodyTimeoutMs = 300;
const authorization = `Bearer ${formatSampleKey(deployment.customers[0] ?? '')}`;
const chatPath = '/v1/chat/completions';
const chat = {
	model: deployment.model,
	messages: [{role: 'user', content: 'hello'}],
};

let site: Site;
let address: string;
const records: RequestRecord[] = [];

beforeAll(async () => {
	site = await startSite(deployment, createLogger('error', {}), {
		entry: {maxBodyBytes: 10_000, bodyTimeoutMs},
	});
	address = site.entries[0]?.address ?? '';
	site.entries[0]?.records.subscribe((record) => {
		records.push(record);
	});
});

afterAll(async () => {
	await site.stop();
});

/** Counts what the backend servers have been asked to do. */
async function countWork(): Promise<number> {
	const engines = [...site.engines.values()].map(async (engine) => {
		const answer = await fetch(`http://${engine.address}/v1/engine`);
		const {stepsRun, sequences} = (await answer.json()) as {
			stepsRun: number;
			sequences: number;
		};
		return stepsRun + sequences;
	});
	const services = [...site.services.values()].map(async (service) => {
		const answer = await fetch(`http://${service.address}/bookings`);
		return Object.keys((await answer.json()) as object).length;
	});
	const counts = await Promise.all([...engines, ...services]);
	return counts.reduce((sum, count) => sum + count, 0);
}

type Sent = {
	readonly method?: string;
	readonly path?: string;
	readonly headers?: Record<string, string>;
	readonly body?: string | object;
};

async function send({method = 'POST', path = chatPath, headers, body}: Sent) {
	const answer = await fetch(`http://${address}${path}`, {
		method,
		headers: {authorization, ...headers},
		body: typeof body === 'object' ? JSON.stringify(body) : body,
	});
	return {
		status: answer.status,
		request: answer.headers.get('x-request-id'),
		body: (await answer.json()) as {error: Record<string, unknown>},
	};
}

const cases: Array<[string, Sent, number, string]> = [
	['a body that is not JSON', {body: '{"model":'}, 400, 'badJson'],
	['a body that is no object', {body: '[]'}, 400, 'badRequest'],
	['an empty body', {body: ''}, 400, 'badJson'],
	['a body that is too large', {body: 'x'.repeat(20_000)}, 413, 'bodyTooLarge'],
	['no messages', {body: {...chat, messages: []}}, 400, 'badRequest'],
	['a model of no row', {body: {...chat, model: 'x'}}, 404, 'unknownModel'],
	['a number for a model', {body: {...chat, model: 7}}, 400, 'badRequest'],
	['negative tokens', {body: {...chat, max_tokens: -1}}, 400, 'badRequest'],
	['no tokens', {body: {...chat, max_tokens: 0}}, 400, 'badRequest'],
	['half a token', {body: {...chat, max_tokens: 1.5}}, 400, 'badRequest'],
	['absurd tokens', {body: {...chat, max_tokens: 1e300}}, 400, 'badRequest'],
	[
		'tokens over the limit of the row',
		{body: {...chat, max_tokens: 5000}},
		400,
		'badRequest',
	],
	['a high temperature', {body: {...chat, temperature: 9}}, 400, 'badRequest'],
	['two answers at once', {body: {...chat, n: 2}}, 400, 'badRequest'],
	[
		'an empty prompt',
		{path: '/v1/completions', body: {...chat, prompt: ''}},
		400,
		'badRequest',
	],
	['a path that is not there', {path: '/v1/nothing'}, 404, 'unknownPath'],
	['a method that is not taken', {method: 'PUT'}, 405, 'methodNotAllowed'],
	['a service of no row', {path: '/v1/services/x/y'}, 404, 'unknownService'],
	['no service', {path: '/v1/services/'}, 404, 'unknownService'],
	[
		'a key of no customer',
		{headers: {authorization: 'Bearer x'}},
		401,
		'unauthorized',
	],
	['no bearer key', {headers: {authorization: 'Basic x'}}, 401, 'unauthorized'],
	[
		'a negative timeout',
		{headers: {'x-request-timeout-ms': '-5'}, body: chat},
		400,
		'badRequest',
	],
	[
		'a timeout that is no number',
		{headers: {'x-request-timeout-ms': 'soon'}, body: chat},
		400,
		'badRequest',
	],
];

test.each(cases)('%s', async (_, sent, status, result) => {
	const before = await countWork();
	const answer = await send(sent);
	expect(answer.status).toBe(status);
	expect(answer.body.error).toMatchObject({type: result, outcome: 'not-run'});
	expect(typeof answer.body.error.code).toBe('number');
	expect(answer.body.error.message).not.toBe('');
	expect(await countWork()).toBe(before);
	const record = records.find(({request}) => request === answer.request);
	expect(record).toMatchObject({failure: {result}, attempts: 0});
});

/** Sends bytes as they are; resolves with the answer once the connection ends. */
async function sendRaw(texts: readonly string[], pauseMs = 0): Promise<string> {
	const {host, port} = parseAddress(address);
	const socket = connect({host, port});
	let answer = '';
	socket.on('data', (chunk) => {
		answer += String(chunk);
	});
	socket.on('error', () => {
		socket.destroy();
	});
	const closed = new Promise<void>((resolve) => {
		socket.once('close', () => {
			resolve();
		});
	});
	for (const text of texts) {
		if (socket.destroyed) {
			break;
		}

		socket.write(text);
		await waitFor(pauseMs);
	}

	await closed;
	return answer;
}

const head = (length: number) =>
	[
		`POST ${chatPath} HTTP/1.1`,
		'host: entry',
		`authorization: ${authorization}`,
		`content-length: ${length}`,
		'',
		'',
	].join('\r\n');

test('a body that comes too slowly', async () => {
	const before = await countWork();
	const answer = await sendRaw([head(100), '{', '"'], 100);
	expect(answer).toMatch(/^HTTP\/1\.1 408 /v);
	expect(answer).toContain('"bodyTimeout"');
	expect(await countWork()).toBe(before);
});

test('headers that come too slowly', async () => {
	const before = await countWork();
	const answer = await sendRaw(
		[`POST ${chatPath} HTTP/1.1\r\n`, 'host: e\r\n'],
		100,
	);
	expect(answer).toMatch(/^HTTP\/1\.1 408 /v);
	expect(answer).toContain('"bodyTimeout"');
	expect(await countWork()).toBe(before);
});

test('huge headers', async () => {
	const before = await countWork();
	const answer = await sendRaw([
		`POST ${chatPath} HTTP/1.1\r\nhost: e\r\nx-long: ${'x'.repeat(40_000)}\r\n\r\n`,
	]);
	expect(answer).toMatch(/^HTTP\/1\.1 431 /v);
	expect(answer).toContain('"headersTooLarge"');
	expect(await countWork()).toBe(before);
});

test('bytes that are not HTTP', async () => {
	const before = await countWork();
	const answer = await sendRaw(['\u0016\u0003\u0001 nothing\r\n\r\n']);
	expect(answer).toMatch(/^HTTP\/1\.1 400 /v);
	expect(answer).toContain('"badHttp"');
	expect(await countWork()).toBe(before);
});

test('a good request on the same entry still runs', async () => {
	const answer = await send({body: {...chat, max_tokens: 3}});
	expect(answer.status).toBe(200);
});

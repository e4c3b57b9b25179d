/** Invalid input to the callers' port over HTTP: it is rejected without any work at a backend server. */
import {connect} from 'node:net';
import {createLogger, parseAddress, waitFor} from 'bramleystage';
import type {RequestRecord} from 'bramleystage-entry';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {deployments, formatSampleApiKey} from '../deployments.js';
import {type Site, startSite} from '../site.js';

const deployment = deployments.kaleli;
const bodyTimeoutMs = 300;
const authorization = `Bearer ${formatSampleApiKey(deployment.customers[0] ?? '')}`;
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

/** Counts the steps, sequences and bookings of all backend servers. */
async function countWork(): Promise<number> {
	const engines = [...site.engines.values()].map(async (engine) => {
		const response = await fetch(`http://${engine.address}/v1/engine`);
		const {stepsRun, sequences} = (await response.json()) as {
			stepsRun: number;
			sequences: number;
		};
		return stepsRun + sequences;
	});
	const services = [...site.services.values()].map(async (service) => {
		const response = await fetch(`http://${service.address}/bookings`);
		return Object.keys((await response.json()) as object).length;
	});
	const counts = await Promise.all([...engines, ...services]);
	return counts.reduce((sum, count) => sum + count, 0);
}

type RequestInput = {
	readonly method?: string;
	readonly path?: string;
	readonly headers?: Record<string, string>;
	readonly body?: string | object;
};

async function send({
	method = 'POST',
	path = chatPath,
	headers,
	body,
}: RequestInput) {
	const response = await fetch(`http://${address}${path}`, {
		method,
		headers: {authorization, ...headers},
		body: typeof body === 'object' ? JSON.stringify(body) : body,
	});
	return {
		status: response.status,
		request: response.headers.get('x-request-id'),
		body: (await response.json()) as {error: Record<string, unknown>},
	};
}

const cases: Array<[string, RequestInput, number, string]> = [
	['a body that is not JSON', {body: '{"model":'}, 400, 'badJson'],
	['a body that is not an object', {body: '[]'}, 400, 'badRequest'],
	['an empty body', {body: ''}, 400, 'badJson'],
	['a body that is too large', {body: 'x'.repeat(20_000)}, 413, 'bodyTooLarge'],
	['no messages', {body: {...chat, messages: []}}, 400, 'badRequest'],
	['a model without a row', {body: {...chat, model: 'x'}}, 404, 'unknownModel'],
	['a number as the model', {body: {...chat, model: 7}}, 400, 'badRequest'],
	[
		'a negative number of tokens',
		{body: {...chat, max_tokens: -1}},
		400,
		'badRequest',
	],
	['zero tokens', {body: {...chat, max_tokens: 0}}, 400, 'badRequest'],
	[
		'a fractional number of tokens',
		{body: {...chat, max_tokens: 1.5}},
		400,
		'badRequest',
	],
	[
		'an excessive number of tokens',
		{body: {...chat, max_tokens: 1e300}},
		400,
		'badRequest',
	],
	[
		'tokens over the limit of the row',
		{body: {...chat, max_tokens: 5000}},
		400,
		'badRequest',
	],
	[
		'a temperature above the maximum',
		{body: {...chat, temperature: 9}},
		400,
		'badRequest',
	],
	['more than one choice', {body: {...chat, n: 2}}, 400, 'badRequest'],
	[
		'an empty prompt',
		{path: '/v1/completions', body: {...chat, prompt: ''}},
		400,
		'badRequest',
	],
	['an unknown path', {path: '/v1/nothing'}, 404, 'unknownPath'],
	['a method that is not allowed', {method: 'PUT'}, 405, 'methodNotAllowed'],
	[
		'a service without a row',
		{path: '/v1/services/x/y'},
		404,
		'unknownService',
	],
	[
		'a path without a service name',
		{path: '/v1/services/'},
		404,
		'unknownService',
	],
	[
		'a key that belongs to no customer',
		{headers: {authorization: 'Bearer x'}},
		401,
		'unauthorized',
	],
	[
		'a scheme other than Bearer',
		{headers: {authorization: 'Basic x'}},
		401,
		'unauthorized',
	],
	[
		'a negative timeout',
		{headers: {'x-request-timeout-ms': '-5'}, body: chat},
		400,
		'badRequest',
	],
	[
		'a timeout that is not a number',
		{headers: {'x-request-timeout-ms': 'soon'}, body: chat},
		400,
		'badRequest',
	],
];

test.each(cases)('%s', async (_, input, status, result) => {
	const before = await countWork();
	const response = await send(input);
	expect(response.status).toBe(status);
	expect(response.body.error).toMatchObject({type: result, outcome: 'not-run'});
	expect(typeof response.body.error.code).toBe('number');
	expect(response.body.error.message).not.toBe('');
	expect(await countWork()).toBe(before);
	const record = records.find(({request}) => request === response.request);
	expect(record).toMatchObject({failure: {result}, attempts: 0});
});

/** Sends text as raw bytes; resolves with the received text when the connection has closed. */
async function sendRaw(texts: readonly string[], pauseMs = 0): Promise<string> {
	const {host, port} = parseAddress(address);
	const socket = connect({host, port});
	let response = '';
	socket.on('data', (chunk) => {
		response += String(chunk);
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
	return response;
}

/** Builds a request's head with a content length but no body. */
const createRequestHead = (length: number) =>
	[
		`POST ${chatPath} HTTP/1.1`,
		'host: entry',
		`authorization: ${authorization}`,
		`content-length: ${length}`,
		'',
		'',
	].join('\r\n');

test('a body that is received too slowly', async () => {
	const before = await countWork();
	const response = await sendRaw([createRequestHead(100), '{', '"'], 100);
	expect(response).toMatch(/^HTTP\/1\.1 408 /v);
	expect(response).toContain('"bodyTimeout"');
	expect(await countWork()).toBe(before);
});

test('headers that are received too slowly', async () => {
	const before = await countWork();
	const response = await sendRaw(
		[`POST ${chatPath} HTTP/1.1\r\n`, 'host: e\r\n'],
		100,
	);
	expect(response).toMatch(/^HTTP\/1\.1 408 /v);
	expect(response).toContain('"bodyTimeout"');
	expect(await countWork()).toBe(before);
});

test('headers that are too large', async () => {
	const before = await countWork();
	const response = await sendRaw([
		`POST ${chatPath} HTTP/1.1\r\nhost: e\r\nx-long: ${'x'.repeat(40_000)}\r\n\r\n`,
	]);
	expect(response).toMatch(/^HTTP\/1\.1 431 /v);
	expect(response).toContain('"headersTooLarge"');
	expect(await countWork()).toBe(before);
});

test('bytes that are not HTTP', async () => {
	const before = await countWork();
	const response = await sendRaw(['\u0016\u0003\u0001 nothing\r\n\r\n']);
	expect(response).toMatch(/^HTTP\/1\.1 400 /v);
	expect(response).toContain('"badHttp"');
	expect(await countWork()).toBe(before);
});

test('the same entry still serves a valid request', async () => {
	const response = await send({body: {...chat, max_tokens: 3}});
	expect(response.status).toBe(200);
});

/** Limits on the time of a response: what arrives all the time is waited for, and everything ends. */
import {once} from 'node:events';
import http, {type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, expect, test, vi} from 'vitest';
import {type HttpRequest, sendHttpRequest} from '../http-client.js';

const silenceMs = 200;
const pieceIntervalMs = 50;

let server: http.Server | undefined;

afterEach(() => {
	server?.closeAllConnections();
	server?.close();
	vi.restoreAllMocks();
});

async function startServer(
	serve: (response: ServerResponse) => void,
): Promise<string> {
	server = http.createServer((_, response) => {
		serve(response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
}

const send = async (url: string, overrides: Partial<HttpRequest> = {}) =>
	sendHttpRequest({
		method: 'GET',
		url,
		timeoutMs: 5000,
		silenceMs,
		agent: false,
		...overrides,
	});

/** Sends a byte at each interval; the response ends after `count` bytes. */
function writeSlowly(response: ServerResponse, count: number) {
	let sent = 0;
	response.flushHeaders();
	const timer = setInterval(() => {
		response.write('x');
		sent++;
		if (sent === count) {
			response.end();
		}

		if (sent === count || response.destroyed) {
			clearInterval(timer);
		}
	}, pieceIntervalMs);
}

// Guards against giving up a transfer that makes progress for its total time.
test('a response that takes several times the silence limit is read to its end', async () => {
	const url = await startServer((response) => {
		writeSlowly(response, 20);
	});
	const onArrival = vi.fn();
	const response = await send(url, {onArrival});
	expect(response._unsafeUnwrap().body).toHaveLength(20);
	expect(onArrival.mock.calls.length).toBeGreaterThan(5);
});

test('a response without a head, and one that stops, end after the silence limit', async () => {
	let isHeadSent = false;
	const url = await startServer((response) => {
		if (isHeadSent) {
			response.write('x');
		}
	});
	for (const next of [false, true]) {
		isHeadSent = next;
		const startedAt = performance.now();
		const response = await send(url);
		expect(response._unsafeUnwrapErr()).toEqual({
			kind: 'timeout',
			sent: true,
			detail: `No byte of the answer for ${silenceMs} ms.`,
		});
		expect(performance.now() - startedAt).toBeLessThan(10 * silenceMs);
	}
});

test('a response that goes on for ever ends after the total time', async () => {
	const url = await startServer((response) => {
		writeSlowly(response, Number.POSITIVE_INFINITY);
	});
	const response = await send(url, {timeoutMs: 600});
	expect(response._unsafeUnwrapErr()).toEqual({
		kind: 'timeout',
		sent: true,
		detail: 'No answer within 600 ms.',
	});
});

test('a response over the size limit ends although bytes arrive', async () => {
	const url = await startServer((response) => {
		writeSlowly(response, Number.POSITIVE_INFINITY);
	});
	const response = await send(url, {maxBodyBytes: 5});
	expect(response._unsafeUnwrapErr().kind).toBe('tooLarge');
});

/** Writes a byte, keeps the process from running past the silence limit, and ends the response later. */
function writeAndBlock(response: ServerResponse) {
	response.write('y');
	const until = performance.now() + 3 * silenceMs;
	while (performance.now() < until) {
		// The process is busy.
	}

	setTimeout(() => {
		response.end('z');
	}, pieceIntervalMs);
}

// Guards against timers that end calls whose answers have arrived while the process did not run.
test('bytes that arrived while the process did not run count', async () => {
	const url = await startServer((response) => {
		response.write('x');
		setTimeout(() => {
			// Timers run before arrivals are read after an immediate callback.
			setImmediate(writeAndBlock, response);
		}, pieceIntervalMs);
	});
	const response = await send(url);
	expect(response._unsafeUnwrap().body.toString()).toBe('xyz');
});

// Guards against listeners that pile up on a connection that is kept.
test('a kept connection has no listener of an earlier request', async () => {
	const url = await startServer((response) => {
		response.end('x');
	});
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	const sockets = new Set<Socket>();
	const counts: number[] = [];
	for (let turn = 0; turn < 5; turn++) {
		const response = await send(url, {agent});
		expect(response.isOk()).toBe(true);

		await new Promise(setImmediate);
		for (const socket of Object.values(agent.freeSockets).flat()) {
			sockets.add(socket!);
			counts.push(socket!.listenerCount('data'));
		}
	}

	agent.destroy();
	expect(sockets.size).toBe(1);
	expect(new Set(counts).size).toBe(1);
});

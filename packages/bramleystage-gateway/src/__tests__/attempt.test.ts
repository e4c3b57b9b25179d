import net from 'node:net';
import {Worker} from 'node:worker_threads';
import {afterEach, expect, test} from 'vitest';
import {type AttemptFailure, openAttempt} from '../attempt.js';

const workers: Worker[] = [];

afterEach(async () => {
	await Promise.all(
		workers.splice(0).map(async (worker) => worker.terminate()),
	);
});

async function startServer(ending: 'reset' | 'end'): Promise<number> {
	const worker = new Worker(new URL('resetting-server.js', import.meta.url), {
		workerData: ending,
	});
	workers.push(worker);
	return new Promise((resolve) => {
		worker.once('message', resolve);
	});
}

/** Blocks the event loop, so that all data that arrives meanwhile is read in one go. */
function runBusyLoop(milliseconds: number) {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// Spins until the time is over.
	}
}

async function readAnswer(
	port: number,
): Promise<{text: string; failure?: AttemptFailure}> {
	const chunks: Buffer[] = [];
	return new Promise((resolve) => {
		const finish = (failure?: AttemptFailure) => {
			resolve({text: Buffer.concat(chunks).toString(), failure});
		};

		openAttempt(
			{
				address: `127.0.0.1:${port}`,
				method: 'GET',
				target: '/',
				headers: [['Host', 'test']],
				body: Buffer.alloc(0),
				connectTimeoutMs: 1000,
				isHeld: () => false,
				hasServerEnded: async () => false,
			},
			{
				onHead: () => undefined,
				onData(chunk) {
					chunks.push(chunk);
				},
				onEnd() {
					finish();
				},
				onFail(failure) {
					finish(failure);
				},
			},
		);
		setTimeout(() => {
			runBusyLoop(250);
		}, 20);
	});
}

test('an answer without a length that ends by a reset is incomplete', async () => {
	const {failure} = await readAnswer(await startServer('reset'));
	expect(failure?.isSent).toBe(true);
});

test('an answer without a length that ends with its connection is complete', async () => {
	const {text, failure} = await readAnswer(await startServer('end'));
	expect(failure).toBeUndefined();
	expect(text).toBe('part');
});

test('a second copy of an answer that arrives late is not the answer of the next attempt', async () => {
	let answers = 0;
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			const body = `answer ${++answers}`;
			const bytes = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
			socket.write(bytes);
			setTimeout(() => {
				socket.write(bytes);
			}, 10);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as net.AddressInfo;
	const texts: string[] = [];
	for (let count = 0; count < 2; count++) {
		const {text} = await readAnswer(port);
		texts.push(text);
	}

	server.close();
	expect(texts).toEqual(['answer 1', 'answer 2']);
});

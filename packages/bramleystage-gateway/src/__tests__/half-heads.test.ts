/** Answers that stop in their head, in one piece or in many, in both versions of HTTP/1. */
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {openAttempt} from '../attempt.js';

const heads = ['1.1', '1.0'].flatMap((version) =>
	['content-length: 4\r\n', 'transfer-encoding: chunked\r\n', ''].map(
		(framing) =>
			`HTTP/${version} 200 OK\r\nx-request: one\r\n${framing}content-type: text/plain\r\n\r\n`,
	),
);

let server: net.Server | undefined;

afterEach(() => {
	server?.close();
});

type Ending = 'end' | 'destroy' | 'reset';

/** Sends a text in pieces and ends the connection. */
async function sendPieces(
	socket: net.Socket,
	text: string,
	pieceLength: number,
	ending: Ending,
): Promise<void> {
	for (let from = 0; from < text.length; from += pieceLength) {
		socket.write(text.slice(from, from + pieceLength));
		if (pieceLength < text.length) {
			// Each piece arrives by itself.

			await new Promise((resolve) => {
				setImmediate(resolve);
			});
		}
	}

	if (ending === 'end') {
		socket.end();
	} else if (ending === 'destroy') {
		socket.destroySoon();
	} else {
		socket.resetAndDestroy();
	}
}

/** Sends a request to a server that answers with a text and ends its connection; tells what becomes of the attempt. */
async function tryAnswer(
	text: string,
	pieceLength: number,
	ending: Ending,
): Promise<'complete' | 'failed'> {
	server = net.createServer({noDelay: true}, (socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			void sendPieces(socket, text, pieceLength, ending);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const result = await new Promise<'complete' | 'failed'>((resolve) => {
		openAttempt(
			{
				address: `127.0.0.1:${port}`,
				method: 'POST',
				target: '/',
				headers: [['Host', 'test']],
				body: Buffer.from('body'),
				connectTimeoutMs: 1000,
				isHeld: () => true,
				hasServerEnded: async () => false,
			},
			{
				onHead: () => undefined,
				onData: () => undefined,
				onEnd() {
					resolve('complete');
				},
				onFail() {
					resolve('failed');
				},
			},
		);
	});
	server.close();
	return result;
}

// Guards against an answer that stops in its head and is passed on as whole, empty or short.
test.each<Ending>(['end', 'destroy', 'reset'])(
	'an answer that stops anywhere in its head is never complete: %s',
	async (ending) => {
		const wrong: string[] = [];
		for (const head of heads) {
			for (let length = 1; length < head.length; length += 3) {
				for (const pieceLength of [1, head.length]) {
					// The server is replaced by the next one.

					const result = await tryAnswer(
						head.slice(0, length),
						pieceLength,
						ending,
					);
					if (result === 'complete') {
						wrong.push(head.slice(0, length));
					}
				}
			}
		}

		expect(wrong).toEqual([]);
	},
);

test('the same heads with whole bodies are complete', async () => {
	const [counted = '', chunked = '', unframed = ''] = heads;
	expect(await tryAnswer(`${counted}body`, 1, 'end')).toBe('complete');
	expect(await tryAnswer(`${chunked}4\r\nbody\r\n0\r\n\r\n`, 1, 'end')).toBe(
		'complete',
	);
	expect(await tryAnswer(`${unframed}body`, 1, 'end')).toBe('complete');
});

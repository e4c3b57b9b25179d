/** Bytes that bring no answer, in one read: how much of them a process takes before it gives up. */
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo, type Server} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {
	maxInformationalHeadsPerRead,
	maxShortChunksPerRead,
	registerAnswerGuard,
} from '../answer-guard.js';

const readBytes = 64 * 1024;
const informationalHead = 'HTTP/1.1 102 Wait\r\n\r\n';
const chunkedHead = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const oneByteChunk = '1\r\nx\r\n';

const servers: Server[] = [];

afterEach(() => {
	for (const server of servers.splice(0)) {
		server.close();
	}
});

type Outcome = {
	readonly text: string;
	readonly isComplete: boolean;
	readonly informationalHeads: number;
	readonly chunks: number;
	readonly detail: string | undefined;
};

/** Sends a request to a server that answers with the given bytes, or with a filler without end, and reads the answer. */
async function readAnswer(start: string, filler = ''): Promise<Outcome> {
	const block = filler.repeat(Math.ceil(readBytes / (filler.length || 1)));
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(start, 'latin1');
			const writeFiller = () => {
				while (!socket.destroyed && socket.write(block, 'latin1'));
			};

			if (filler) {
				socket.on('drain', writeFiller);
				writeFiller();
			}
		});
	});
	servers.push(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return new Promise((resolve) => {
		let [text, informationalHeads, chunks] = ['', 0, 0];
		let isComplete = false;
		let detail: string | undefined;
		const request = http.request({port, host: '127.0.0.1', agent: false});
		const countBody = registerAnswerGuard(request, (reason) => {
			detail ??= reason;
			request.destroy();
		});
		request.on('information', () => {
			informationalHeads++;
		});
		request.on('response', (response) => {
			response.on('error', () => undefined);
			response.on('data', (chunk: Buffer) => {
				chunks++;
				text += chunk.toString();
				countBody(chunk.length);
			});
			response.on('end', () => {
				({complete: isComplete} = response);
				request.destroy();
			});
		});
		request.on('error', () => undefined);
		request.on('close', () => {
			resolve({text, isComplete, informationalHeads, chunks, detail});
		});
		request.end();
	});
}

// Guards against a process that serves nobody while it parses the heads of one faulty server.
test('informational heads without end are given up within the read', async () => {
	const {informationalHeads, detail} = await readAnswer('', informationalHead);
	expect(informationalHeads).toBeLessThanOrEqual(
		maxInformationalHeadsPerRead + 1,
	);
	expect(detail).toContain('informational heads');
});

// Guards against the same with chunks of a byte each.
test('short chunks without end are given up within the read', async () => {
	const {chunks, detail} = await readAnswer(chunkedHead, oneByteChunk);
	expect(chunks).toBeLessThanOrEqual(maxShortChunksPerRead + 1);
	expect(detail).toContain('chunks');
});

// Guards against sound answers that the bounds refuse.
test('an answer after informational heads and in short chunks is read to its end', async () => {
	const {text, isComplete, detail} = await readAnswer(
		informationalHead.repeat(maxInformationalHeadsPerRead) +
			chunkedHead +
			oneByteChunk.repeat(maxShortChunksPerRead) +
			'0\r\n\r\n',
	);
	expect(detail).toBeUndefined();
	expect(text).toBe('x'.repeat(maxShortChunksPerRead));
	expect(isComplete).toBe(true);
});

/**
 * A stand-in for a backend server in trouble: it answers every request with bytes
 * that don't end, as fast as the connection takes them, until the caller closes
 * or a bound in bytes and time is reached. It then keeps the connection open.
 */
import {once} from 'node:events';
import net, {type AddressInfo, type Socket} from 'node:net';

/** What a connection sends: `start` once, then `filler` again and again. */
export type EndlessAnswer = {
	/** `{request}` stands for the value of the request's header that `requestHeader` names. */
	readonly start: string;
	readonly filler: string;
	/** Time between two fillers, in milliseconds; sent as fast as the connection takes them if undefined. */
	readonly intervalMs?: number;
};

export type EndlessServerOptions = {
	readonly requestHeader?: string;
	/** Targets that are refused soundly instead. */
	readonly refusedTargets?: readonly string[];
};

export type EndlessConnection = {
	/** Bytes that the kernel has taken from the stand-in. */
	sentBytes: number;
	/** Time from the request to the close of the connection, in milliseconds; undefined while it is open. */
	closedAfterMs: number | undefined;
};

export type EndlessServer = {
	readonly address: string;
	/** Connections that got the endless answer, in order. */
	readonly connections: readonly EndlessConnection[];
	readonly close: () => Promise<void>;
};

/** Bytes after which a connection sends nothing more. */
const maxSentBytes = 160 * 1024 * 1024;
/** Time after which a connection sends nothing more, in milliseconds. */
const maxSendMs = 2500;
const writeBytes = 64 * 1024;

const okLine = 'HTTP/1.1 200 OK\r\n';

/** Builds answers that are never complete, in a head or in the framing of a body; `marks` are header lines of each. */
export function buildEndlessHeads(marks = ''): Record<string, EndlessAnswer> {
	const chunkedHead = `${okLine}${marks}transfer-encoding: chunked\r\n\r\n`;
	return {
		garbage: {start: '', filler: '\u0016\u0003garbage'},
		'status-line': {start: 'HTTP/1.1 200 ', filler: 'a'},
		'header-line': {start: `${okLine}x: `, filler: 'a'},
		'header-spaces': {start: `${okLine}x:`, filler: ' '},
		'header-lines': {start: okLine, filler: 'x-a: b\r\n'},
		'informational-heads': {start: '', filler: 'HTTP/1.1 102 Wait\r\n\r\n'},
		'line-breaks': {start: '', filler: '\r\n'},
		'chunk-size': {start: chunkedHead, filler: '0'},
		'chunk-extension': {start: `${chunkedHead}5;`, filler: 'a'},
		'chunk-extensions': {
			start: chunkedHead,
			filler: `1;${'a'.repeat(400)}\r\nx\r\n`,
		},
		trailers: {start: `${chunkedHead}0\r\n`, filler: 'x-a: b\r\n'},
	};
}

/** Builds answers whose body never ends. */
export function buildEndlessBodies(marks = ''): Record<string, EndlessAnswer> {
	const chunkedHead = `${okLine}${marks}transfer-encoding: chunked\r\n\r\n`;
	return {
		'absurd-length': {
			start: `${okLine}${marks}content-length: 900000000000000\r\n\r\n`,
			filler: 'x',
		},
		chunks: {start: chunkedHead, filler: `3e8\r\n${'x'.repeat(1000)}\r\n`},
		'tiny-chunks': {start: chunkedHead, filler: '1\r\nx\r\n'},
		unframed: {start: `${okLine}${marks}\r\n`, filler: 'x'},
		'unframed-error': {start: buildHeadOfStatus(500, marks), filler: 'x'},
	};
}

/** Builds streams of events that never go on. */
export function buildEndlessStreams(marks = ''): Record<string, EndlessAnswer> {
	const head = `${okLine}${marks}content-type: text/event-stream\r\n\r\n`;
	return {
		'one-event': {start: `${head}id: 1\ndata: `, filler: 'x'},
		'one-event-of-lines': {start: `${head}id: 1\n`, filler: 'data: x\n'},
		comments: {start: head, filler: ': wait\n\n'},
		'event-id': {start: `${head}id: \u0001\ndata: x\n\n`, filler: ': wait\n\n'},
		events: {start: head, filler: 'data: x\n\n'},
		'error-body': {start: buildHeadOfStatus(500, marks), filler: 'x'},
		'refusal-body': {start: buildHeadOfStatus(503, marks), filler: 'x'},
	};
}

const buildHeadOfStatus = (status: number, marks: string) =>
	`HTTP/1.1 ${status} Status\r\n${marks}\r\n`;

const refusal =
	'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n';

export async function startEndlessServer(
	{start, filler, intervalMs}: EndlessAnswer,
	options: EndlessServerOptions = {},
): Promise<EndlessServer> {
	const connections: EndlessConnection[] = [];
	const sockets = new Set<Socket>();
	const block = Buffer.from(
		filler.repeat(Math.ceil(writeBytes / filler.length)),
		'latin1',
	);

	const sendAnswer = (socket: Socket, requestId: string) => {
		const connection: EndlessConnection = {
			sentBytes: 0,
			closedAfterMs: undefined,
		};
		connections.push(connection);
		const startedAt = performance.now();
		const measureSentBytes = () => socket.bytesWritten - socket.writableLength;
		const isOver = () =>
			socket.destroyed ||
			socket.bytesWritten >= maxSentBytes ||
			performance.now() - startedAt >= maxSendMs;
		const sendBlocks = () => {
			connection.sentBytes = measureSentBytes();
			let isWritable = true;
			while (isWritable && !isOver()) {
				isWritable = socket.write(block);
			}
		};

		socket.on('close', () => {
			connection.closedAfterMs = performance.now() - startedAt;
		});
		socket.write(start.replace('{request}', requestId));
		if (intervalMs === undefined) {
			socket.on('drain', sendBlocks);
			sendBlocks();
			return;
		}

		const timer = setInterval(() => {
			if (isOver()) {
				clearInterval(timer);
			} else {
				socket.write(filler);
				connection.sentBytes = measureSentBytes();
			}
		}, intervalMs);
	};

	const server = net.createServer((socket) => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		let request = '';
		const readRequest = (chunk: Buffer) => {
			request += chunk.toString('latin1');
			if (request.includes('\r\n\r\n')) {
				socket.off('data', readRequest);
				socket.resume();
				const [line = '', ...headers] = request.split('\r\n');
				if (options.refusedTargets?.includes(line.split(' ')[1] ?? '')) {
					socket.end(refusal);
					return;
				}

				sendAnswer(socket, findValue(headers, options.requestHeader));
			}
		};

		socket.on('data', readRequest);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		connections,
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
			await once(server, 'close');
		},
	};
}

function findValue(headers: readonly string[], name?: string): string {
	const line = headers.find(
		(item) => name !== undefined && item.toLowerCase().startsWith(`${name}:`),
	);
	return line?.slice(line.indexOf(':') + 1).trim() ?? '';
}

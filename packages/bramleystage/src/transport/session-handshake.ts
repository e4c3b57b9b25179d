/**
 * Handshake of a session: the process that opens the connection sends a hello,
 * and the other end replies with a welcome, or with a refusal that has a reason.
 */
import {connect, type Socket} from 'node:net';
import {
	type Hello,
	type Message,
	protocolVersion,
} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';
import {parseAddress} from './address.js';
import {encodeFrame, FrameDecoder} from './framing.js';
import {Session, type SessionTiming} from './session.js';

/**
 * Opens a session to an address. Throws an error with the result code and the
 * detail if the peer refuses, and also if the handshake fails or times out.
 */
export async function openSession(
	address: string,
	hello: Hello,
	timing: SessionTiming,
): Promise<Session> {
	const {host, port} = parseAddress(address);
	const socket = connect({host, port, noDelay: true});
	const decoder = new FrameDecoder();
	socket.on('connect', () => {
		socket.write(encodeFrame(hello));
	});
	const first = await readFirstMessage(socket, decoder, timing.handshakeMs);
	if (first.type === 'welcome') {
		return new Session(socket, first, decoder);
	}

	socket.destroy();
	throw new Error(
		first.type === 'refusal'
			? `${first.result}: ${first.detail}`
			: 'The peer answered the hello with an unexpected message.',
	);
}

/**
 * Checks a hello against this process; returns the reason to refuse it, or
 * undefined.
 */
export type CheckHello = (hello: Hello) => Failure | undefined;

/**
 * Returns the reason to refuse a hello of another protocol version or another
 * deployment.
 */
export function checkHello(
	hello: Hello,
	deployment: string,
): Failure | undefined {
	if (hello.version !== protocolVersion) {
		return createFailure(
			'versionMismatch',
			`This process uses protocol version ${protocolVersion}, the peer ${hello.version}.`,
		);
	}

	if (hello.deployment !== deployment) {
		return createFailure(
			'deploymentMismatch',
			`This process belongs to deployment ${deployment}, the peer to ${hello.deployment}.`,
		);
	}

	return undefined;
}

/**
 * Reads the first message of a connection within `timeoutMs`, then pauses the
 * socket until a session reads on. The promise rejects on invalid bytes, a
 * timeout, an error or a close.
 */
export async function readFirstMessage(
	socket: Socket,
	decoder: FrameDecoder,
	timeoutMs: number,
): Promise<Message> {
	return new Promise((resolve, reject) => {
		const finish = (settlePromise: () => void) => {
			clearTimeout(timer);
			socket.pause();
			socket.removeAllListeners('data');
			socket.removeListener('error', fail);
			socket.on('error', () => {
				socket.destroy();
			});
			settlePromise();
		};

		const fail = (error: Error) => {
			finish(() => {
				reject(error);
			});
		};

		const timer = setTimeout(() => {
			socket.destroy();
			fail(new Error('The handshake timed out.'));
		}, timeoutMs);
		socket.on('error', fail);
		socket.on('data', (chunk) => {
			decoder.append(chunk);
			const decoded = decoder.readNext();
			if (decoded.isErr()) {
				fail(new Error(decoded.error.detail));
				return;
			}

			const message = decoded.value;
			if (message) {
				finish(() => {
					resolve(message);
				});
			}
		});
		socket.on('close', () => {
			clearTimeout(timer);
			reject(new Error('The connection closed during the handshake.'));
		});
	});
}

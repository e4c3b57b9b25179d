/**
 * The first frames of a session: the opener says hello, the other end answers
 * with a welcome, or with a refusal that gives the reason.
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

/** Opens a session to an address; fails with the reason when it is refused. */
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
			: 'The peer did not answer the hello.',
	);
}

/** Checks a hello against this process; gives the reason to refuse it, if any. */
export type CheckHello = (hello: Hello) => Failure | undefined;

/** Refuses another protocol version or another deployment. */
export function checkHello(
	hello: Hello,
	deployment: string,
): Failure | undefined {
	if (hello.version !== protocolVersion) {
		return createFailure(
			'versionMismatch',
			`This process speaks version ${protocolVersion}, the peer ${hello.version}.`,
		);
	}

	if (hello.deployment !== deployment) {
		return createFailure(
			'deploymentMismatch',
			`This process belongs to ${deployment}, the peer to ${hello.deployment}.`,
		);
	}

	return undefined;
}

/** Reads the first message of a connection, within a time in milliseconds. */
export async function readFirstMessage(
	socket: Socket,
	decoder: FrameDecoder,
	timeoutMs: number,
): Promise<Message> {
	return new Promise((resolve, reject) => {
		const finish = (act: () => void) => {
			clearTimeout(timer);
			socket.pause();
			socket.removeAllListeners('data');
			socket.removeListener('error', onError);
			socket.on('error', () => {
				socket.destroy();
			});
			act();
		};

		const onError = (error: Error) => {
			finish(() => {
				reject(error);
			});
		};

		const timer = setTimeout(() => {
			socket.destroy();
			onError(new Error('The handshake timed out.'));
		}, timeoutMs);
		socket.on('error', onError);
		socket.on('data', (chunk) => {
			decoder.append(chunk);
			const decoded = decoder.readNext();
			if (decoded.isErr()) {
				onError(new Error(decoded.error.detail));
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

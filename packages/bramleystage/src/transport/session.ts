/**
 * Sessions between the system's processes: framed messages over one TCP
 * connection. The opener says hello, the other end answers with a welcome or a
 * refusal. Both send heartbeats; a session on which nothing arrives within its
 * deadline is dead, though TCP shows the connection open.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {type Observable, Subject} from 'rxjs';
import {
	type Hello,
	type Message,
	protocolVersion,
	type Welcome,
} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';
import {encodeFrame, FrameDecoder} from './framing.js';
import {formatAddress, parseAddress} from './address.js';
import {
	HeartbeatPace,
	type PaceTiming,
	type SelfDescription,
} from './heartbeat-pace.js';
import type {TrafficMeter} from './traffic-meter.js';

/** Timing of a session, in milliseconds. */
export type SessionTiming = PaceTiming & {
	/** A hello must be answered within this time. */
	readonly handshakeMs: number;
};

export const defaultSessionTiming: SessionTiming = {
	heartbeatMs: 250,
	idleHeartbeatMs: 500,
	silenceMs: 1200,
	handshakeMs: 1000,
};

/** Says who the peer is, for either direction. */
export type SessionPeer = Pick<
	Hello,
	'host' | 'role' | 'dataCentre' | 'incarnation'
>;

/** What a process says of itself in each heartbeat. */
export type DescribeSelf = (peer: SessionPeer) => SelfDescription;

/** How a session is kept. */
export type SessionOptions = {
	readonly timing: SessionTiming;
	readonly describeSelf: DescribeSelf;
	/** Counts what is sent. */
	readonly meter?: TrafficMeter;
};

export class Session {
	readonly #socket: Socket;
	readonly #messages = new Subject<Message>();
	readonly #closed: Promise<Failure>;
	#resolveClosed!: (failure: Failure) => void;
	#pace: HeartbeatPace | undefined;
	#meter: TrafficMeter | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isClosed = false;

	constructor(
		socket: Socket,
		readonly peer: SessionPeer,
		private readonly decoder: FrameDecoder,
	) {
		this.#socket = socket;
		this.#closed = new Promise((resolve) => {
			this.#resolveClosed = resolve;
		});
	}

	/** Messages that arrive; heartbeats are among them. Completes at the close. */
	get messages(): Observable<Message> {
		return this.#messages.asObservable();
	}

	/** Resolves with the reason once the session has ended. */
	get closed(): Promise<Failure> {
		return this.#closed;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Starts reading and heartbeats. Call once the messages are subscribed to. */
	start({timing, describeSelf, meter}: SessionOptions): void {
		this.#meter = meter;
		this.#socket.on('data', (chunk) => {
			this.#receive(chunk);
		});
		this.#socket.on('close', () => {
			this.close(createFailure('backendLost', 'The connection closed.'));
		});
		this.#socket.on('error', (error) => {
			this.close(createFailure('backendLost', error.message));
		});
		const pace = new HeartbeatPace(timing, performance.now());
		this.#pace = pace;
		this.#beat(pace, describeSelf);
		this.#timer = setInterval(() => {
			this.#beat(pace, describeSelf);
		}, timing.heartbeatMs);
		this.#deliver();
		this.#socket.resume();
	}

	send(message: Message): void {
		if (this.#isClosed) {
			return;
		}

		this.#notePace(message);
		const frame = encodeFrame(message);
		this.#meter?.record(message, frame.length);
		this.#socket.write(frame);
	}

	close(reason: Failure): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		clearInterval(this.#timer);
		this.#socket.destroy();
		this.#messages.complete();
		this.#resolveClosed(reason);
	}

	#receive(chunk: Buffer): void {
		this.#pace?.recordArrival(performance.now());
		this.decoder.append(chunk);
		this.#deliver();
	}

	#deliver(): void {
		while (!this.#isClosed) {
			const next = this.decoder.readNext();
			if (next.isErr()) {
				this.close(next.error);
				return;
			}

			if (!next.value) {
				return;
			}

			this.#notePace(next.value);
			this.#messages.next(next.value);
		}
	}

	#notePace(message: Message): void {
		if ('request' in message) {
			this.#pace?.recordRequestFrame(performance.now());
		}
	}

	#beat(pace: HeartbeatPace, describeSelf: DescribeSelf): void {
		const now = performance.now();
		const silence = pace.findSilence(now);
		if (silence !== undefined) {
			this.close(
				createFailure('backendLost', `Silent for ${Math.round(silence)} ms.`),
			);
			return;
		}

		const beat = pace.createBeat(describeSelf(this.peer), now);
		if (beat) {
			this.send(beat);
		}
	}
}

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

export type SessionListener = {
	readonly address: string;
	close(): Promise<void>;
};

/** Listens for sessions; `onSession` subscribes to each before it starts. */
export async function listenForSessions(options: {
	address: string;
	welcome: Welcome;
	timing: SessionTiming;
	describeSelf: DescribeSelf;
	meter?: TrafficMeter;
	check: CheckHello;
	onSession: (session: Session, hello: Hello) => void;
}): Promise<SessionListener> {
	const sessions = new Set<Session>();
	const sockets = new Set<Socket>();
	const server = createServer({noDelay: true}, async (socket) => {
		sockets.add(socket);
		socket.on('close', () => sockets.delete(socket));
		const session = await acceptSession(socket, options);
		if (session) {
			sessions.add(session);
			await session.closed;
			sessions.delete(session);
		}
	});
	const address = await startServer(server, options.address);
	return {
		address,
		async close() {
			server.close();
			const reason = createFailure('stopping', 'The process is stopping.');
			for (const session of sessions) {
				session.close(reason);
			}

			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

async function acceptSession(
	socket: Socket,
	options: Parameters<typeof listenForSessions>[0],
): Promise<Session | undefined> {
	const decoder = new FrameDecoder();
	try {
		const hello = await readFirstMessage(
			socket,
			decoder,
			options.timing.handshakeMs,
		);
		if (hello.type !== 'hello') {
			throw new Error('The first frame was no hello.');
		}

		const failure = options.check(hello);
		if (failure) {
			const {result, detail} = failure;
			socket.end(encodeFrame({type: 'refusal', result, detail}));
			return undefined;
		}

		socket.write(encodeFrame(options.welcome));
		const session = new Session(socket, hello, decoder);
		options.onSession(session, hello);
		session.start(options);
		return session;
	} catch {
		socket.destroy();
		return undefined;
	}
}

async function readFirstMessage(
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

/** Starts a server on `host:port`; gives the address it got, for port 0. */
export async function startServer(
	server: Server,
	address: string,
): Promise<string> {
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.removeListener('error', reject);
			resolve();
		});
	});
	return formatAddress(server.address());
}

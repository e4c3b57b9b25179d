/** Listens for sessions that other processes open. */
import {createServer, type Socket} from 'node:net';
import type {Hello, Welcome} from '../protocol/messages.js';
import {createFailure} from '../protocol/result-codes.js';
import {encodeFrame, FrameDecoder} from './framing.js';
import {startServer} from './listening.js';
import type {Logger} from './logger.js';
import {type CheckHello, readFirstMessage} from './session-handshake.js';
import {type DescribeSelf, Session, type SessionTiming} from './session.js';
import type {TrafficMeter} from './traffic-meter.js';

export type SessionListener = {
	readonly address: string;
	close(): Promise<void>;
};

/**
 * Listens for sessions. `check` decides which hellos are refused; `onSession`
 * subscribes to the messages of a session before it starts.
 */
export async function listenForSessions(options: {
	address: string;
	/** Logs how the address is opened. */
	logger?: Logger;
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
	const address = await startServer(server, options.address, {
		logger: options.logger,
	});
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
			throw new Error('The first frame is not a hello.');
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

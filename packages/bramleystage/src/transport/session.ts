/**
 * A session between two processes: framed messages over one TCP connection,
 * after the handshake. Both ends send heartbeats. A session on which no bytes
 * arrive for too long is closed, even if TCP still reports the connection as
 * open.
 */
import type {Socket} from 'node:net';
import {type Observable, Subject} from 'rxjs';
import type {Hello, Message} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';
import {encodeFrame, type FrameDecoder} from './framing.js';
import {
	HeartbeatScheduler,
	type HeartbeatTiming,
	type SelfDescription,
} from './heartbeat-scheduler.js';
import type {TrafficMeter} from './traffic-meter.js';

/** Timing of a session, in milliseconds. */
export type SessionTiming = HeartbeatTiming & {
	/**
	 * Time limit for the first message of a connection: the hello or the reply to
	 * it.
	 */
	readonly handshakeMs: number;
};

export const defaultSessionTiming: SessionTiming = {
	heartbeatMs: 250,
	idleHeartbeatMs: 500,
	silenceMs: 1200,
	handshakeMs: 1000,
};

/** Identity of the peer, whichever end opened the session. */
export type SessionPeer = Pick<
	Hello,
	'host' | 'role' | 'dataCentre' | 'incarnation'
>;

/** Returns the state that the next heartbeat to a peer carries. */
export type DescribeSelf = (peer: SessionPeer) => SelfDescription;

export type SessionOptions = {
	readonly timing: SessionTiming;
	readonly describeSelf: DescribeSelf;
	/** Counts the frames and bytes that are sent. */
	readonly meter?: TrafficMeter;
};

export class Session {
	readonly #socket: Socket;
	readonly #messages = new Subject<Message>();
	readonly #closed: Promise<Failure>;
	#resolveClosed!: (failure: Failure) => void;
	#heartbeats: HeartbeatScheduler | undefined;
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

	/** Received messages, including heartbeats. Completes when the session closes. */
	get messages(): Observable<Message> {
		return this.#messages.asObservable();
	}

	/** Resolves with the reason when the session has closed. */
	get closed(): Promise<Failure> {
		return this.#closed;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/**
	 * Starts reading and sending heartbeats. Subscribe to `messages` first;
	 * earlier messages are lost.
	 */
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
		const heartbeats = new HeartbeatScheduler(timing, performance.now());
		this.#heartbeats = heartbeats;
		this.#runHeartbeat(heartbeats, describeSelf);
		this.#timer = setInterval(() => {
			this.#runHeartbeat(heartbeats, describeSelf);
		}, timing.heartbeatMs);
		this.#deliverMessages();
		this.#socket.resume();
	}

	/** Sends a message; a closed session drops it. */
	send(message: Message): void {
		if (this.#isClosed) {
			return;
		}

		this.#recordRequestFrame(message);
		const frame = encodeFrame(message);
		this.#meter?.record(message, frame.length);
		this.#socket.write(frame);
	}

	/** Closes the session and the connection; only the first reason counts. */
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
		this.#heartbeats?.recordArrival(performance.now());
		this.decoder.append(chunk);
		this.#deliverMessages();
	}

	#deliverMessages(): void {
		while (!this.#isClosed) {
			const decoded = this.decoder.readNext();
			if (decoded.isErr()) {
				this.close(decoded.error);
				return;
			}

			if (!decoded.value) {
				return;
			}

			this.#recordRequestFrame(decoded.value);
			this.#messages.next(decoded.value);
		}
	}

	#recordRequestFrame(message: Message): void {
		if ('request' in message) {
			this.#heartbeats?.recordRequestFrame(performance.now());
		}
	}

	#runHeartbeat(
		heartbeats: HeartbeatScheduler,
		describeSelf: DescribeSelf,
	): void {
		const now = performance.now();
		heartbeats.recordTick(now);
		const silentMs = heartbeats.findSilence(now);
		if (silentMs !== undefined) {
			this.close(
				createFailure(
					'backendLost',
					`No bytes arrived for ${Math.round(silentMs)} ms.`,
				),
			);
			return;
		}

		const heartbeat = heartbeats.createHeartbeat(describeSelf(this.peer), now);
		if (heartbeat) {
			this.send(heartbeat);
		}
	}
}

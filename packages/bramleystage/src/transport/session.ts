/**
 * Sessions between the system's processes: framed messages over one TCP
 * connection. The opener says hello, the other end answers with a welcome or a
 * refusal. Both send heartbeats; a session on which nothing arrives within its
 * deadline is dead, though TCP shows the connection open.
 */
import type {Socket} from 'node:net';
import {type Observable, Subject} from 'rxjs';
import type {Hello, Message} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';
import {encodeFrame, type FrameDecoder} from './framing.js';
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
		pace.recordTick(now);
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

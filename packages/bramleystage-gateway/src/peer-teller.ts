/** Tells the gateways that follow this one what it knows, as it changes and at each beat. */
import type {Socket} from 'node:net';
import {type Backend, type BackendId, encodeValueFrame} from 'bramleystage';
import {type Beat, buildNews, type Knowledge} from './peer-news.js';

type Follower = {
	told: ReadonlyMap<BackendId, Backend>;
	beat: {readonly beatAt: number; readonly arrivedAt: number};
};

export type PeerTellerOptions = {
	readonly describe: () => Knowledge;
	readonly readClock: () => number;
};

export class PeerTeller {
	readonly #followers = new Map<Socket, Follower>();

	constructor(private readonly options: PeerTellerOptions) {}

	/** Takes a beat of a follower and tells it what is new. */
	acceptBeat(socket: Socket, {beatAt}: Beat): void {
		const beat = {beatAt, arrivedAt: this.options.readClock()};
		const follower = this.#followers.get(socket);
		if (follower) {
			follower.beat = beat;
		} else {
			this.#followers.set(socket, {told: new Map(), beat});
			socket.on('close', () => {
				this.#followers.delete(socket);
			});
		}

		this.#tell(socket);
	}

	/** Tells all followers what is new. */
	publish(): void {
		for (const socket of this.#followers.keys()) {
			this.#tell(socket);
		}
	}

	#tell(socket: Socket): void {
		const follower = this.#followers.get(socket);
		// One that reads slowly is told all that is new at a later beat.
		if (!follower || socket.writableNeedDrain) {
			return;
		}

		const {describe, readClock} = this.options;
		const knowledge = describe();
		const news = buildNews(
			knowledge,
			follower.told,
			follower.beat,
			readClock(),
		);
		follower.told = knowledge.backends;
		socket.write(encodeValueFrame(news));
	}
}

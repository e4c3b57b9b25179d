/**
 * Turns at backend servers that name a limit: whatever is sent to such a server first
 * gets a turn from the gateway that owns the server's turns, which may be this one. So
 * the sum over all gateways keeps the limit, wherever callers come.
 */
import type {Socket} from 'node:net';
import {
	type BackendId,
	encodeValueFrame,
	type LifeCycle,
	type Logger,
	toInstanceKey,
} from 'bramleystage';
import {Counter, type Registry} from 'prom-client';
import type {LimitWatch} from './limit-watch.js';
import {PermitCircle} from './permit-circle.js';
import type {
	PermitAsk,
	PermitMessageToOwner,
	PermitReply,
} from './permit-messages.js';
import {PermitOwner, type TurnResult} from './permit-owner.js';
import {
	describeState,
	noOwnerRetryMs,
	type PermitRequest,
	PermitSearch,
} from './permit-search.js';

export type PermitsOptions = {
	readonly limits: LimitWatch;
	/** `host:port` at which other gateways reach this one. */
	readonly self: string;
	/** Returns the addresses of the other gateways. */
	readonly listPeers: () => readonly string[];
	readonly registry: Registry;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

export class Permits {
	readonly #circle: PermitCircle;
	readonly #owner: PermitOwner;
	readonly #results: Counter;
	/** Requests of this gateway that wait for a turn, by server. */
	readonly #waiting = new Map<BackendId, number>();
	/** Withdraws the requests that wait for each connection of another gateway, by number. */
	readonly #remoteAsks = new Map<Socket, Map<number, () => void>>();

	constructor(private readonly options: PermitsOptions) {
		const {limits, registry} = options;
		this.#circle = new PermitCircle(options);
		this.#owner = new PermitOwner({
			...options,
			findLimit: (instance) => limits.findInstanceLimit(instance),
			isOwner: (instance) => this.#circle.isOwner(instance),
			checkOwner: async (instance) => this.#circle.checkOwner(instance),
		});
		this.#results = new Counter({
			name: 'bramleystage_gateway_permits_total',
			help: 'Requests for turns at servers that name a limit, by result',
			labelNames: ['result'],
			registers: [registry],
		});
	}

	/** Counts the requests of this gateway that wait for a turn at a server. */
	countWaiting(id: BackendId): number {
		return this.#waiting.get(id) ?? 0;
	}

	/**
	 * Gets a turn at a server; calls `handleResult` once, at once if the server has no
	 * limit. Returns a function that withdraws the request.
	 */
	acquire(
		id: BackendId,
		request: PermitRequest,
		handleResult: (result: TurnResult) => void,
	): () => void {
		const {limits} = this.options;
		const instance = limits.findInstance(id);
		if (instance === undefined || limits.findLimit(id) === undefined) {
			handleResult({granted: true});
			return () => undefined;
		}

		this.#countWaiting(id, 1);
		const search = new PermitSearch({
			...this.options,
			instance,
			request,
			circle: this.#circle,
			owner: this.#owner,
			handleResult: (result) => {
				this.#countWaiting(id, -1);
				this.#results.inc({result: result.granted ? 'granted' : 'refused'});
				handleResult(result);
			},
		});
		search.start();
		return () => {
			if (search.tryCancel()) {
				this.#countWaiting(id, -1);
			}
		};
	}

	/** Gets a turn for something that need not be sent; resolves to whether it may be. */
	async tryAcquire(id: BackendId, maxWaitMs: number): Promise<boolean> {
		return new Promise((resolve) => {
			this.acquire(id, {maxWaitMs, priority: 0, customer: ''}, ({granted}) => {
				resolve(granted);
			});
		});
	}

	/** Handles a message of another gateway. */
	accept(socket: Socket, message: PermitMessageToOwner): void {
		const asks = this.#openAsks(socket);
		switch (message.type) {
			case 'permitAsk': {
				void this.#answer(socket, asks, message);
				break;
			}

			case 'permitCancel': {
				asks.get(message.number)?.();
				asks.delete(message.number);
				break;
			}

			case 'permitCheck': {
				writeReply(socket, {type: 'permitChecked'});
				break;
			}
		}
	}

	async #answer(
		socket: Socket,
		asks: Map<number, () => void>,
		{number, key, limit, maxWaitMs, priority, customer}: PermitAsk,
	): Promise<void> {
		const {limits, readClock} = this.options;
		const instance = toInstanceKey(key);
		const askedAt = readClock();
		limits.acceptNews([{instance, ...limit}]);
		let isWithdrawn = false;
		asks.set(number, () => {
			isWithdrawn = true;
		});
		const isOwner =
			this.#circle.isOwner(instance) ||
			(await this.#circle.checkOwner(instance));
		if (isWithdrawn) {
			return;
		}

		const reply = (result: TurnResult) => {
			asks.delete(number);
			writeReply(socket, {
				type: 'permitAnswer',
				number,
				limit: describeState(limits, instance),
				...(result.granted ? {granted: true, retryAfterMs: 0} : result),
			});
		};

		if (!isOwner) {
			reply({granted: false, retryAfterMs: noOwnerRetryMs, isMoved: true});
			return;
		}

		const withdraw = this.#owner.ask({
			instance,
			maxWaitMs: Math.max(0, maxWaitMs - (readClock() - askedAt)),
			priority,
			customer,
			handleResult: reply,
		});
		if (asks.has(number)) {
			asks.set(number, withdraw);
		}
	}

	#countWaiting(id: BackendId, change: 1 | -1): void {
		const count = this.countWaiting(id) + change;
		if (count > 0) {
			this.#waiting.set(id, count);
		} else {
			this.#waiting.delete(id);
		}
	}

	#openAsks(socket: Socket): Map<number, () => void> {
		const known = this.#remoteAsks.get(socket);
		if (known) {
			return known;
		}

		const asks = new Map<number, () => void>();
		this.#remoteAsks.set(socket, asks);
		socket.on('close', () => {
			this.#remoteAsks.delete(socket);
			for (const withdraw of asks.values()) {
				withdraw();
			}
		});
		return asks;
	}
}

const writeReply = (socket: Socket, reply: PermitReply) => {
	if (socket.writable) {
		socket.write(encodeValueFrame(reply));
	}
};

/**
 * The owner's side of turns at servers that name a limit: the queue of each server whose
 * turns this gateway gives, for requests of its own and of other gateways.
 */
import {
	addTurn,
	computeNextTurnAt,
	computeTurnDelayMs,
	createTurnQueue,
	type InstanceKey,
	type LifeCycle,
	removeLate,
	removeTurns,
	takeTurn,
	type TurnQueue,
} from 'bramleystage';

/** Time after which the queue of a server without requests is dropped, in milliseconds. */
const idleQueueMs = 60_000;
const cleanUpIntervalMs = 10_000;

export type TurnResult =
	| {readonly granted: true}
	| {
			readonly granted: false;
			readonly retryAfterMs: number;
			/** Whether another gateway gives the turns now. */
			readonly isMoved?: boolean;
	  };

/** A request for a turn, of this gateway or another one. */
export type TurnAsk = {
	readonly instance: InstanceKey;
	readonly maxWaitMs: number;
	readonly priority: number;
	readonly customer: string;
	/** Called once, unless the request is withdrawn. */
	readonly handleResult: (result: TurnResult) => void;
};

type ServerTurns = {
	queue: TurnQueue<TurnAsk>;
	timer: NodeJS.Timeout | undefined;
};

export type PermitOwnerOptions = {
	/** Finds the limit of an instance, in requests a second; undefined if it has none. */
	readonly findLimit: (instance: InstanceKey) => number | undefined;
	/** Whether this gateway gives the turns of an instance, as far as it knows. */
	readonly isOwner: (instance: InstanceKey) => boolean;
	/** Finds out whether this gateway gives the turns of an instance. */
	readonly checkOwner: (instance: InstanceKey) => Promise<boolean>;
	readonly lifeCycle: LifeCycle;
	readonly readClock: () => number;
};

export class PermitOwner {
	readonly #servers = new Map<InstanceKey, ServerTurns>();

	constructor(private readonly options: PermitOwnerOptions) {
		options.lifeCycle.registerInterval(cleanUpIntervalMs, () => {
			this.#removeIdle(options.readClock());
		});
		options.lifeCycle.register(() => {
			for (const {timer} of this.#servers.values()) {
				clearTimeout(timer);
			}
		});
	}

	/** Queues a request for a turn; returns a function that withdraws it. */
	ask(ask: TurnAsk): () => void {
		const {findLimit, readClock} = this.options;
		const now = readClock();
		const perSecond = findLimit(ask.instance);
		if (perSecond === undefined) {
			ask.handleResult({granted: true});
			return () => undefined;
		}

		const server = this.#openServer(ask.instance, now);
		const [queue, late] = addTurn(
			server.queue,
			{
				id: ask,
				priority: ask.priority,
				customer: ask.customer,
				weight: 1,
				latestAt: now + ask.maxWaitMs,
			},
			perSecond,
			now,
		);
		server.queue = queue;
		this.#refuse(server, late, perSecond);
		this.#advance(ask.instance, server);
		return () => {
			server.queue = removeTurns(server.queue, (other) => other === ask);
		};
	}

	/** Gives the turns that have come, and waits for the next one. */
	#advance(instance: InstanceKey, server: ServerTurns): void {
		const {findLimit, isOwner, readClock} = this.options;
		clearTimeout(server.timer);
		for (;;) {
			const now = readClock();
			const perSecond = findLimit(instance);
			if (perSecond === undefined) {
				this.#settle(server, {granted: true});
				return;
			}

			if (server.queue.waiting.length > 0 && !isOwner(instance)) {
				void this.#checkOwner(instance, server);
				return;
			}

			const [kept, late] = removeLate(server.queue, perSecond, now);
			server.queue = kept;
			this.#refuse(server, late, perSecond);
			const [queue, ask] = takeTurn(server.queue, perSecond, now);
			server.queue = queue;
			if (ask) {
				ask.handleResult({granted: true});
				continue;
			}

			const nextAt = computeNextTurnAt(server.queue, perSecond);
			if (nextAt !== undefined) {
				server.timer = setTimeout(
					() => {
						this.#advance(instance, server);
					},
					Math.max(1, Math.ceil(nextAt - now)),
				);
			}

			return;
		}
	}

	/** Goes on if no gateway before this one answers, else sends all who wait there. */
	async #checkOwner(instance: InstanceKey, server: ServerTurns): Promise<void> {
		if (await this.options.checkOwner(instance)) {
			this.#advance(instance, server);
		} else {
			this.#settle(server, {granted: false, retryAfterMs: 0, isMoved: true});
		}
	}

	/** Gives all who wait the same result. */
	#settle(server: ServerTurns, result: TurnResult): void {
		const {waiting} = server.queue;
		server.queue = {...server.queue, waiting: []};
		for (const {id} of waiting) {
			id.handleResult(result);
		}
	}

	#refuse(
		server: ServerTurns,
		late: readonly TurnAsk[],
		perSecond: number,
	): void {
		for (const ask of late) {
			const delayMs = computeTurnDelayMs(
				server.queue,
				perSecond,
				this.options.readClock(),
			);
			ask.handleResult({
				granted: false,
				retryAfterMs: Math.max(0, delayMs - ask.maxWaitMs),
			});
		}
	}

	#openServer(instance: InstanceKey, now: number): ServerTurns {
		const known = this.#servers.get(instance);
		if (known) {
			return known;
		}

		const server = {queue: createTurnQueue<TurnAsk>(now), timer: undefined};
		this.#servers.set(instance, server);
		return server;
	}

	#removeIdle(now: number): void {
		for (const [instance, {queue}] of this.#servers) {
			if (queue.waiting.length === 0 && now - queue.lastAt > idleQueueMs) {
				this.#servers.delete(instance);
			}
		}
	}
}

/** The turns of one request at servers that name a limit, and which of them had no room for it. */
import type {BackendId, Route} from 'bramleystage';
import {type Call, computePriority} from './call.js';
import type {TurnResult} from './permit-owner.js';
import type {RunContext} from './run-context.js';

/** Servers without room after which a request asks no further limited one. */
const maxFullServers = 3;

/** Least time without an event for which callers wait, in milliseconds. */
const minPatienceMs = 2000;
/** The same as a multiple of the target for the first event. */
const targetPatienceFactor = 4;
/** The same as a multiple of the target for pauses between events. */
const gapPatienceFactor = 8;

/** Computes how long a stream can wait for a turn, in milliseconds: callers leave one that shows no event for too long. */
export const computeTurnPatienceMs = ({
	latencyTargetMs,
	eventGapTargetMs,
}: Route): number =>
	Math.max(
		minPatienceMs,
		targetPatienceFactor * latencyTargetMs,
		gapPatienceFactor * eventGapTargetMs,
	) - latencyTargetMs;

export class TurnTaker {
	/** Servers whose limits leave no room for the request in time. */
	readonly fullServers = new Set<BackendId>();
	/** Shortest time until a full server has room, in milliseconds. */
	#roomInMs = Number.POSITIVE_INFINITY;
	/** Withdraws the request for a turn. */
	#withdraw: (() => void) | undefined;

	constructor(
		private readonly call: Call,
		private readonly context: Pick<
			RunContext,
			'fleet' | 'permits' | 'recorder' | 'readClock'
		>,
	) {}

	/** Whether the request waits for its turn. */
	get isWaiting(): boolean {
		return this.#withdraw !== undefined;
	}

	/** Time until a full server has room, in milliseconds; undefined if none is known to be full. */
	get roomInMs(): number | undefined {
		return this.fullServers.size > 0 ? this.#roomInMs : undefined;
	}

	/** Whether another server is worth asking: a limited one, up to a number of them, or one without a limit. */
	get mayTryOthers(): boolean {
		return (
			this.fullServers.size < maxFullServers ||
			this.context.fleet.hasUnlimitedRoom(this.call.service)
		);
	}

	/**
	 * Gets a turn at a server, for which the request can wait some milliseconds; while
	 * servers without a limit have room, it doesn't. Calls `handleTurn` once, at once if
	 * the server names no limit, with whether it got its turn and whether it waited.
	 */
	take(
		id: BackendId,
		maxWaitMs: number,
		handleTurn: (isGranted: boolean, hasWaited: boolean) => void,
	): void {
		const {fleet, permits, recorder, readClock} = this.context;
		const askedAt = readClock();
		let isSettled = false;
		const handleResult = (result: TurnResult) => {
			const hasWaited = this.isWaiting;
			isSettled = true;
			this.#withdraw = undefined;
			recorder.recordTurn(this.call, id, result, readClock() - askedAt);
			if (!result.granted) {
				this.fullServers.add(id);
				this.#roomInMs = Math.min(this.#roomInMs, result.retryAfterMs);
			}

			handleTurn(result.granted, hasWaited);
		};

		const withdraw = permits.acquire(
			id,
			{
				maxWaitMs: fleet.hasUnlimitedRoom(this.call.service)
					? 0
					: Math.max(0, maxWaitMs),
				priority: computePriority(this.call),
				customer: this.call.holder?.customer ?? '',
			},
			handleResult,
		);
		if (!isSettled) {
			this.#withdraw = withdraw;
		}
	}

	/** Stops waiting. */
	cancel(): void {
		this.#withdraw?.();
		this.#withdraw = undefined;
	}

	/** Forgets which servers had no room, before a later attempt. */
	clearFullServers(): void {
		this.fullServers.clear();
		this.#roomInMs = Number.POSITIVE_INFINITY;
	}
}

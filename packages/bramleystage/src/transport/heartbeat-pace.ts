/**
 * When a session sends a heartbeat, what it leaves out, and how long it may be
 * silent. A session that carries requests beats fast, so that a dead peer is
 * found soon; an idle one beats slowly, unless there is news that a peer must
 * have at once. Fields that the peer already has are left out.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {Heartbeat} from '../protocol/messages.js';

/** What a process says of itself in a heartbeat. */
export type SelfDescription = Omit<Heartbeat, 'type'>;

export type PaceTiming = {
	/** Interval of heartbeats while the session carries requests. */
	readonly heartbeatMs: Milliseconds;
	readonly idleHeartbeatMs: Milliseconds;
	/** A busy session is dead when no frame arrived for this long. */
	readonly silenceMs: Milliseconds;
};

/** A session counts as busy for this long after a request's frame. */
const busyMs = 5000;

export class HeartbeatPace {
	#lastArrival: Milliseconds;
	#lastTick: Milliseconds;
	#lastBeat: Milliseconds = Number.NEGATIVE_INFINITY;
	#busyUntil: Milliseconds = Number.NEGATIVE_INFINITY;
	#busySince: Milliseconds;
	#sentNews = '';
	#sentOffers = '';
	#sentLoad = '';

	constructor(
		private readonly timing: PaceTiming,
		now: Milliseconds,
	) {
		this.#lastArrival = now;
		this.#lastTick = now;
		this.#busySince = now;
	}

	/**
	 * Records that the heartbeat's timer ran. When it ran late, this process was
	 * paused or busy and frames may wait to be read, so that time is no silence.
	 */
	recordTick(now: Milliseconds): void {
		const pausedMs = now - this.#lastTick - this.timing.heartbeatMs;
		this.#lastTick = now;
		if (pausedMs > 0) {
			this.#lastArrival = Math.min(now, this.#lastArrival + pausedMs);
			this.#busySince = Math.min(now, this.#busySince + pausedMs);
		}
	}

	/** Records that a frame arrived. */
	recordArrival(now: Milliseconds): void {
		this.#lastArrival = now;
	}

	/** Records that a frame of a request was sent or arrived. */
	recordRequestFrame(now: Milliseconds): void {
		if (now > this.#busyUntil) {
			this.#busySince = now;
		}

		this.#busyUntil = now + busyMs;
	}

	/** How long the peer has been silent beyond its due, if it has. */
	findSilence(now: Milliseconds): Milliseconds | undefined {
		const isBusy = now <= this.#busyUntil;
		const since = isBusy
			? Math.max(this.#lastArrival, this.#busySince)
			: this.#lastArrival;
		const allowed =
			this.timing.silenceMs + (isBusy ? 0 : 2 * this.timing.idleHeartbeatMs);
		return now - since > allowed ? now - this.#lastArrival : undefined;
	}

	/** Gives the heartbeat to send now, if one is due. */
	createBeat(self: SelfDescription, now: Milliseconds): Heartbeat | undefined {
		const news = JSON.stringify([self.leaving, self.offers, self.table?.next]);
		const isBusy = now <= this.#busyUntil;
		const interval = isBusy
			? this.timing.heartbeatMs
			: this.timing.idleHeartbeatMs;
		// A timer may run a little early; half a beat is near enough.
		const isDue =
			now >= this.#lastBeat + interval - this.timing.heartbeatMs / 2;
		if (!isDue && news === this.#sentNews) {
			return undefined;
		}

		this.#lastBeat = now;
		this.#sentNews = news;
		return this.#removeKnown(self);
	}

	#removeKnown({offers, load, ...rest}: SelfDescription): Heartbeat {
		const offersText = JSON.stringify(offers);
		const loadText = JSON.stringify(load);
		const hasNewOffers = offersText !== this.#sentOffers;
		const hasNewLoad = loadText !== this.#sentLoad;
		this.#sentOffers = offersText;
		this.#sentLoad = loadText;
		return {
			type: 'heartbeat',
			...rest,
			...(hasNewOffers && {offers}),
			...(hasNewLoad && {load}),
		};
	}
}

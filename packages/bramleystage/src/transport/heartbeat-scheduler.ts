/**
 * Schedules the heartbeats of one session and detects a silent peer. A session
 * that carries requests sends heartbeats at a short interval, so that a dead
 * peer is detected quickly. An idle session uses a longer interval, except that
 * a change that the peer must know immediately is sent at the next tick.
 * Offers, load and prefixes are omitted while they equal what was last sent.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {Heartbeat} from '../protocol/messages.js';

/** State of the sending process that a heartbeat carries. */
export type SelfDescription = Omit<Heartbeat, 'type'>;

export type HeartbeatTiming = {
	/**
	 * Interval of heartbeats while the session carries requests; also the
	 * interval of ticks.
	 */
	readonly heartbeatMs: Milliseconds;
	/** Interval of heartbeats while the session carries no requests. */
	readonly idleHeartbeatMs: Milliseconds;
	/** A busy session is dead when no bytes have arrived for this duration. */
	readonly silenceMs: Milliseconds;
};

/** A session counts as busy for this duration after a frame of a request. */
const busyPeriodMs = 5000;

export class HeartbeatScheduler {
	#lastArrivalAt: Milliseconds;
	#lastTickAt: Milliseconds;
	#lastSentAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#busyUntil: Milliseconds = Number.NEGATIVE_INFINITY;
	#busySince: Milliseconds;
	#sentUrgentState = '';
	#sentOffers = '';
	#sentLoad = '';
	#sentPrefixes = '';

	constructor(
		private readonly timing: HeartbeatTiming,
		now: Milliseconds,
	) {
		this.#lastArrivalAt = now;
		this.#lastTickAt = now;
		this.#busySince = now;
	}

	/**
	 * Records a tick of the heartbeat timer, which runs every `heartbeatMs`. If
	 * the tick is late, this process was paused or busy and frames may be waiting
	 * to be read, so the delay does not count as silence of the peer.
	 */
	recordTick(now: Milliseconds): void {
		const pausedMs = now - this.#lastTickAt - this.timing.heartbeatMs;
		this.#lastTickAt = now;
		if (pausedMs > 0) {
			this.#lastArrivalAt = Math.min(now, this.#lastArrivalAt + pausedMs);
			this.#busySince = Math.min(now, this.#busySince + pausedMs);
		}
	}

	/** Records that bytes arrived. */
	recordArrival(now: Milliseconds): void {
		this.#lastArrivalAt = now;
	}

	/** Records that a frame of a request was sent or received. */
	recordRequestFrame(now: Milliseconds): void {
		if (now > this.#busyUntil) {
			this.#busySince = now;
		}

		this.#busyUntil = now + busyPeriodMs;
	}

	/**
	 * Returns the time since the last arrival once it exceeds the limit, else
	 * undefined. An idle session is allowed two more idle intervals.
	 */
	findSilence(now: Milliseconds): Milliseconds | undefined {
		const isBusy = now <= this.#busyUntil;
		const since = isBusy
			? Math.max(this.#lastArrivalAt, this.#busySince)
			: this.#lastArrivalAt;
		const timeoutMs =
			this.timing.silenceMs + (isBusy ? 0 : 2 * this.timing.idleHeartbeatMs);
		return now - since > timeoutMs ? now - this.#lastArrivalAt : undefined;
	}

	/**
	 * Returns the heartbeat to send now, or undefined if none is due. A change of
	 * leaving, of the offers or of the table's offset is due immediately.
	 */
	createHeartbeat(
		self: SelfDescription,
		now: Milliseconds,
	): Heartbeat | undefined {
		const urgentState = JSON.stringify([
			self.leaving,
			self.offers,
			self.table?.next,
		]);
		const isBusy = now <= this.#busyUntil;
		const intervalMs = isBusy
			? this.timing.heartbeatMs
			: this.timing.idleHeartbeatMs;
		// The timer may run slightly early: half a tick of tolerance.
		const isDue =
			now >= this.#lastSentAt + intervalMs - this.timing.heartbeatMs / 2;
		if (!isDue && urgentState === this.#sentUrgentState) {
			return undefined;
		}

		this.#lastSentAt = now;
		this.#sentUrgentState = urgentState;
		return this.#omitUnchanged(self);
	}

	#omitUnchanged({
		offers,
		load,
		prefixes,
		...rest
	}: SelfDescription): Heartbeat {
		const offersText = JSON.stringify(offers);
		const loadText = JSON.stringify(load);
		const prefixesText = JSON.stringify(prefixes) ?? '';
		const hasNewOffers = offersText !== this.#sentOffers;
		const hasNewLoad = loadText !== this.#sentLoad;
		const hasNewPrefixes = prefixesText !== this.#sentPrefixes;
		this.#sentOffers = offersText;
		this.#sentLoad = loadText;
		this.#sentPrefixes = prefixesText;
		return {
			type: 'heartbeat',
			...rest,
			...(hasNewOffers && {offers}),
			...(hasNewLoad && {load}),
			...(hasNewPrefixes && {prefixes}),
		};
	}
}

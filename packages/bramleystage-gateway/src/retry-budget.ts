/**
 * Retry budget of each service: this gateway's share of the budget of all gateways. A
 * retry counts until the window has passed since it arrived at a server, or may have.
 */
import {
	countCertainRequests,
	createRetryWindow,
	decideWindowRetry,
	recordWindowRequest,
	type RetryWindow,
	type ServiceName,
} from 'bramleystage';
import type {GatewaySettings} from './platform-port.js';
import type {RequestArrivals} from './request-arrivals.js';

/** Share of the budget's slack that the known gateways use; the rest is for gateways that are not known yet. */
const usableSlackShare = 0.75;
/** Share of its slack that a restarted gateway uses in its first window; the previous process may have spent some. */
const restartSlackShare = 0.25;

export type ServiceRepeats = {
	readonly service: ServiceName;
	/** Repeats that count in the window. */
	readonly repeats: number;
	readonly allowed: number;
};

export class RetryBudget {
	readonly #windows = new Map<ServiceName, RetryWindow>();
	/** Requests of each service that have spent retries which may count. */
	readonly #repeated = new Map<ServiceName, Set<RequestArrivals>>();
	readonly #startedAt: number;

	constructor(
		private readonly settings: Pick<
			GatewaySettings,
			'retryRatio' | 'retrySlack' | 'retryWindowMs' | 'isFirstStart'
		>,
		/** Returns the share of the slack that belongs to this gateway, 0 to 1. */
		private readonly readShare: (now: number) => number,
		private readonly readClock: () => number,
	) {
		this.#startedAt = readClock();
	}

	/** Records a request of a caller; retries are limited to a ratio of these requests, plus the slack. */
	recordRequest(service: ServiceName): void {
		const now = this.readClock();
		this.#windows.set(
			service,
			recordWindowRequest(
				this.#readWindow(service),
				this.#computeLimits(now),
				now,
			),
		);
	}

	/** Spends one retry for a request; returns false if none is left. */
	trySpendRetry(service: ServiceName, arrivals: RequestArrivals): boolean {
		const now = this.readClock();
		const retries = this.#listRepeatTimes(service, now);
		const [next, isAllowed] = decideWindowRetry(
			{...this.#readWindow(service), retries},
			this.#computeLimits(now),
			now,
		);
		this.#windows.set(service, next);
		if (isAllowed) {
			arrivals.recordRetry();
			this.#readRepeated(service).add(arrivals);
		}

		return isAllowed;
	}

	/** Describes the repeats of each service in the window and those allowed there. */
	describe(now: number): ServiceRepeats[] {
		const limits = this.#computeLimits(now);
		return [...this.#windows].map(([service, {requests}]) => ({
			service,
			repeats: this.#listRepeatTimes(service, now).length,
			allowed:
				limits.ratio * countCertainRequests(requests, limits.windowMs, now) +
				limits.slack,
		}));
	}

	/** Lists the times of the repeats in the window, and forgets requests without one. */
	#listRepeatTimes(service: ServiceName, now: number): number[] {
		const since = now - this.settings.retryWindowMs;
		const repeated = this.#readRepeated(service);
		return [...repeated].flatMap((arrivals) => {
			const times = arrivals.listRepeatTimes().filter((time) => time >= since);
			if (times.length === 0) {
				repeated.delete(arrivals);
			}

			return times;
		});
	}

	#readRepeated(service: ServiceName): Set<RequestArrivals> {
		const repeated = this.#repeated.get(service) ?? new Set();
		this.#repeated.set(service, repeated);
		return repeated;
	}

	#readWindow(service: ServiceName): RetryWindow {
		return this.#windows.get(service) ?? createRetryWindow();
	}

	#computeLimits(now: number) {
		const {retryRatio, retrySlack, retryWindowMs, isFirstStart} = this.settings;
		// Retries that the previous process spent still count for one window.
		const isFresh = !isFirstStart && now - this.#startedAt < retryWindowMs;
		const share = isFresh
			? usableSlackShare * restartSlackShare
			: usableSlackShare;
		return {
			ratio: retryRatio,
			slack: retrySlack * share * this.readShare(now),
			windowMs: retryWindowMs,
		};
	}
}

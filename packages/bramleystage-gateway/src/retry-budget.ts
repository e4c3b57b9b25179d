/** Retry budget of each service: this gateway's share of the budget of all gateways. */
import {
	createRetryWindow,
	decideWindowRetry,
	recordWindowRequest,
	type RetryWindow,
	type ServiceName,
} from 'bramleystage';
import type {GatewaySettings} from './platform-port.js';

/** Share of the budget's slack that the known gateways use; the rest is for gateways that are not known yet. */
const usableSlackShare = 0.75;
/** Share of its slack that a restarted gateway uses in its first window; the previous process may have spent some. */
const restartSlackShare = 0.25;

export class RetryBudget {
	readonly #windows = new Map<ServiceName, RetryWindow>();
	readonly #startedAt: number;

	constructor(
		private readonly settings: GatewaySettings,
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

	/** Spends one retry; returns false if none is left. */
	trySpendRetry(service: ServiceName): boolean {
		const now = this.readClock();
		const [next, isAllowed] = decideWindowRetry(
			this.#readWindow(service),
			this.#computeLimits(now),
			now,
		);
		this.#windows.set(service, next);
		return isAllowed;
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

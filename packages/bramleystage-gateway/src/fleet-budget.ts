/** Repeats of each service, within this gateway's part of the fleet's budget. */
import {
	createRetryWindow,
	decideRepeat,
	recordWindowRequest,
	type RetryWindow,
	type ServiceName,
} from 'bramleystage';
import type {GatewaySettings} from './platform-port.js';

/** Share of the fleet's slack that is left unused for gateways that are not known yet. */
const slackShare = 0.75;
/** Share of its slack that a restarted gateway uses until a window has passed; its earlier life used some. */
const freshShare = 0.25;

export class FleetBudget {
	readonly #windows = new Map<ServiceName, RetryWindow>();
	readonly #startedAt: number;

	constructor(
		private readonly settings: GatewaySettings,
		/** Part of the fleet's slack that is this gateway's, 0 to 1. */
		private readonly readShare: (now: number) => number,
		private readonly readClock: () => number,
	) {
		this.#startedAt = readClock();
	}

	/** Records a request that a caller sent. */
	recordRequest(service: ServiceName): void {
		const now = this.readClock();
		this.#windows.set(
			service,
			recordWindowRequest(
				this.#readWindow(service),
				this.#computeBounds(now),
				now,
			),
		);
	}

	/** Spends a repeat, if there is one. */
	tryRepeat(service: ServiceName): boolean {
		const now = this.readClock();
		const [next, isAllowed] = decideRepeat(
			this.#readWindow(service),
			this.#computeBounds(now),
			now,
		);
		this.#windows.set(service, next);
		return isAllowed;
	}

	#readWindow(service: ServiceName): RetryWindow {
		return this.#windows.get(service) ?? createRetryWindow();
	}

	#computeBounds(now: number) {
		const {retryRatio, retrySlack, retryWindowMs, isFirstStart} = this.settings;
		// What an earlier life of this process has spent still counts for a window.
		const isFresh = !isFirstStart && now - this.#startedAt < retryWindowMs;
		const share = isFresh ? slackShare * freshShare : slackShare;
		return {
			ratio: retryRatio,
			slack: retrySlack * share * this.readShare(now),
			windowMs: retryWindowMs,
		};
	}
}

/**
 * Retry budget of each service: this gateway's part of the budget of all gateways. A retry
 * needs a token, and counts until the window has passed since it arrived at a server, or may
 * have.
 */
import {
	addRequestTokens,
	computeOwnSlack,
	countCertainRequests,
	countRecentRequests,
	createRetryTokens,
	createRetryWindow,
	decideWindowRetry,
	recordWindowRequest,
	type RetryTokens,
	type RetryWindow,
	type ServiceName,
	spendRetryToken,
	updateRetryTokens,
} from 'bramleystage';
import type {GatewaySettings} from './platform-port.js';
import type {RequestArrivals} from './request-arrivals.js';

export type ServiceRepeats = {
	readonly service: ServiceName;
	/** Repeats that count in the window. */
	readonly repeats: number;
	readonly allowed: number;
};

/** The budget of one service. */
type ServiceBudget = {
	window: RetryWindow;
	tokens: RetryTokens;
	/** Requests that have spent retries which may count. */
	readonly repeated: Set<RequestArrivals>;
};

export class RetryBudget {
	readonly #budgets = new Map<ServiceName, ServiceBudget>();
	/** Tokens of a service without requests. */
	#unusedTokens: RetryTokens;

	constructor(
		private readonly settings: Pick<
			GatewaySettings,
			'retryRatio' | 'retrySlack' | 'retryWindowMs' | 'isFirstStart'
		>,
		/** Returns the share of the slack that belongs to this gateway, 0 to 1. */
		private readonly readShare: (now: number) => number,
		private readonly readClock: () => number,
	) {
		this.#unusedTokens = createRetryTokens(readClock(), settings.isFirstStart);
	}

	/** Records a request of a caller; retries are limited to a ratio of these requests, plus the slack. */
	recordRequest(service: ServiceName): void {
		const now = this.readClock();
		const budget = this.#updateBudget(service, now);
		budget.window = recordWindowRequest(
			budget.window,
			this.#computeLimits(budget),
			now,
		);
		budget.tokens = addRequestTokens(budget.tokens, {
			ratio: this.settings.retryRatio,
		});
	}

	/** Spends one retry for a request; returns false if none is left. */
	trySpendRetry(service: ServiceName, arrivals: RequestArrivals): boolean {
		const now = this.readClock();
		const budget = this.#updateBudget(service, now);
		const tokens = spendRetryToken(budget.tokens);
		if (!tokens) {
			return false;
		}

		const retries = this.#listRepeatTimes(budget, now);
		const [next, isAllowed] = decideWindowRetry(
			{...budget.window, retries},
			this.#computeLimits(budget),
			now,
		);
		budget.window = next;
		if (isAllowed) {
			budget.tokens = tokens;
			arrivals.recordRetry();
			budget.repeated.add(arrivals);
		}

		return isAllowed;
	}

	/** Describes the repeats of each service in the window and those allowed there as of now. */
	describe(now: number): ServiceRepeats[] {
		return [...this.#budgets.keys()].map((service) => {
			const budget = this.#updateBudget(service, now);
			const repeats = this.#listRepeatTimes(budget, now).length;
			const {ratio, slack, windowMs} = this.#computeLimits(budget);
			const {requests} = budget.window;
			const allowed =
				ratio * countCertainRequests(requests, windowMs, now) + slack;
			return {
				service,
				repeats,
				allowed: Math.min(allowed, repeats + Math.floor(budget.tokens.tokens)),
			};
		});
	}

	/** Lists the times of the repeats in the window, and forgets requests without one. */
	#listRepeatTimes({repeated}: ServiceBudget, now: number): number[] {
		const since = now - this.settings.retryWindowMs;
		return [...repeated].flatMap((arrivals) => {
			const times = arrivals.listRepeatTimes().filter((time) => time >= since);
			if (times.length === 0) {
				repeated.delete(arrivals);
			}

			return times;
		});
	}

	/** Brings the tokens of a service up to a time. */
	#updateBudget(service: ServiceName, now: number): ServiceBudget {
		const {
			retryRatio: ratio,
			retrySlack: slack,
			retryWindowMs: windowMs,
		} = this.settings;
		const bounds = {ratio, slack, windowMs, share: this.readShare(now)};
		this.#unusedTokens = updateRetryTokens(this.#unusedTokens, bounds, 0, now);
		const budget: ServiceBudget = this.#budgets.get(service) ?? {
			window: createRetryWindow(),
			tokens: this.#unusedTokens,
			repeated: new Set(),
		};
		this.#budgets.set(service, budget);
		budget.tokens = updateRetryTokens(
			budget.tokens,
			bounds,
			countRecentRequests(budget.window, windowMs, now),
			now,
		);
		return budget;
	}

	#computeLimits({tokens: {share}}: ServiceBudget) {
		const {retryRatio, retrySlack, retryWindowMs} = this.settings;
		return {
			ratio: retryRatio,
			slack: computeOwnSlack({slack: retrySlack, share}),
			windowMs: retryWindowMs,
		};
	}
}

import {type ServiceName, toServiceName} from 'bramleystage';
import {expect, test} from 'vitest';
import {type openTimedAttempt} from '../timed-attempt.js';
import {RequestArrivals} from '../request-arrivals.js';
import {RetryBudget} from '../retry-budget.js';

const service: ServiceName = toServiceName('desk');
const windowMs = 10_000;
const ratio = 0.2;
const slack = 196;
const gatewayCount = 3;
/** Time between two steps of the virtual clock, in milliseconds. */
const stepMs = 10;

type Load = {
	/** Requests a second of all gateways. */
	readonly rate: number;
	readonly untilMs: number;
	/** Whether attempts that are sent at a time fail. */
	readonly isFailing: (now: number) => boolean;
	/** When an attempt that is sent at a time arrives and is cancelled, if it is delayed. */
	readonly findDelay?: (
		now: number,
		attempt: number,
	) => {arrivesAt: number; cancelsAt: number} | undefined;
};

/** Attempts that each request makes at most. */
const maxAttempts = 5;

/** Runs gateways with a virtual clock; returns the times of requests and of repeats. */
function runGateways({rate, untilMs, isFailing, findDelay}: Load) {
	let now = 0;
	const readClock = () => now;
	const settings = {
		retryRatio: ratio,
		retrySlack: slack,
		retryWindowMs: windowMs,
		isFirstStart: true,
	};
	const budgets = Array.from(
		{length: gatewayCount},
		() => new RetryBudget(settings, () => 1 / gatewayCount, readClock),
	);
	const events: Array<{at: number; run: () => void}> = [];
	const sentAt: number[] = [];
	const repeatedAt: number[] = [];
	const startRequest = (budget: RetryBudget) => {
		budget.recordRequest(service);
		sentAt.push(now);
		const arrivals = new RequestArrivals(readClock);
		const arrivedAt: number[] = [];
		const recordArrival = () => {
			arrivedAt.push(now);
			if (arrivedAt.length > 1) {
				repeatedAt.push(now);
			}
		};

		const makeAttempt = (number: number) => {
			const retry = () => {
				if (number < maxAttempts && budget.trySpendRetry(service, arrivals)) {
					makeAttempt(number + 1);
				} else {
					arrivals.recordEnd();
				}
			};

			const open: typeof openTimedAttempt = (_request, _limit, handlers) => {
				const delay = findDelay?.(now, number);
				if (delay) {
					events.push(
						{at: delay.arrivesAt, run: recordArrival},
						{
							at: delay.cancelsAt,
							run() {
								attempt.cancel();
								retry();
							},
						},
					);
				} else {
					recordArrival();
					handlers.onHead({status: isFailing(now) ? 503 : 200, headers: []});
					if (isFailing(now)) {
						events.push({at: now, run: retry});
					} else {
						arrivals.recordEnd();
					}
				}

				return {cancel: () => undefined, isSent: () => true};
			};

			const attempt = arrivals.recordAttempts(open)(
				{} as Parameters<typeof openTimedAttempt>[0],
				{} as Parameters<typeof openTimedAttempt>[1],
				{
					onHead: () => undefined,
					onData: () => undefined,
					onEnd: () => undefined,
					onFail: () => undefined,
				},
			);
		};

		makeAttempt(1);
	};

	let startedCount = 0;
	const endMs = untilMs + 2 * windowMs;
	for (let step = 0; step * stepMs < endMs; step++) {
		now = step * stepMs;
		const sendMs = Math.min(untilMs, now + stepMs);
		while (startedCount < (sendMs / 1000) * rate) {
			const budget = budgets[startedCount++ % gatewayCount];
			if (budget) {
				startRequest(budget);
			}
		}

		for (let index = 0; index < events.length; index++) {
			const event = events[index];
			if (event && event.at <= now) {
				events.splice(index--, 1);
				event.run();
			}
		}
	}

	return {sentAt, repeatedAt};
}

/** Finds by how many repeats a window exceeds the rule at most. */
function findWorstExcess({sentAt, repeatedAt}: ReturnType<typeof runGateways>) {
	const count = (times: readonly number[], end: number) =>
		times.filter((at) => at > end - windowMs && at <= end).length;
	let worst = Number.NEGATIVE_INFINITY;
	for (let end = 0; end <= (repeatedAt.at(-1) ?? 0) + windowMs; end += 250) {
		const requests = Math.max(
			...[0, windowMs / 2, windowMs].map((backMs) =>
				count(sentAt, end - backMs),
			),
		);
		worst = Math.max(worst, count(repeatedAt, end) - ratio * requests - slack);
	}

	return worst;
}

// Guards against retries that leave the budget's window before a suspended server takes them.
test.each([1000, 2000, 4500])(
	'repeats that a suspended server takes %i ms later count in the window of their arrival',
	(forMs) => {
		const resumesAt = windowMs + forMs;
		const load = runGateways({
			rate: 200,
			untilMs: 3 * windowMs,
			isFailing: (now) => now >= windowMs,
			findDelay: (now, attempt) =>
				now >= windowMs && now < resumesAt && attempt % 2 === 1
					? {arrivesAt: resumesAt, cancelsAt: now + 100}
					: undefined,
		});
		expect(findWorstExcess(load)).toBeLessThanOrEqual(0);
	},
);

// Guards against a ratio of requests that no window of the rule holds together.
test.each([200, 400, 1000])(
	'repeats of a load that lasts as long as the window stay within the budget at %i requests a second',
	(rate) => {
		const load = runGateways({
			rate,
			untilMs: windowMs,
			isFailing: (now) => now >= windowMs / 4,
		});
		expect(findWorstExcess(load)).toBeLessThanOrEqual(0);
	},
);

test('all retries of the budget are used while every attempt is refused', () => {
	const {sentAt, repeatedAt} = runGateways({
		rate: 100,
		untilMs: 30_000,
		isFailing: () => true,
	});
	expect(repeatedAt.length).toBeGreaterThan(ratio * sentAt.length);
});

import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	countCertainRequests,
	createRetryWindow,
	decideWindowRetry,
	recordWindowRequest,
} from '../retry-window.js';

const bounds = {ratio: 0.2, slack: 3, windowMs: 1000};

test('a gateway without requests may retry only within the slack', () => {
	let window = createRetryWindow();
	let allowed = 0;
	for (let turn = 0; turn < 10; turn++) {
		const [next, isAllowed] = decideWindowRetry(window, bounds, turn);
		window = next;
		allowed += isAllowed ? 1 : 0;
	}

	expect(allowed).toBe(3);
});

test('retries are available again when the window has moved on', () => {
	let window = createRetryWindow();
	for (let turn = 0; turn < 5; turn++) {
		[window] = decideWindowRetry(window, bounds, turn);
	}

	expect(decideWindowRetry(window, bounds, 1100)[1]).toBe(true);
});

test('no window has more retries than the ratio and the slack allow', () => {
	fc.assert(
		fc.property(
			fc.array(fc.tuple(fc.boolean(), fc.nat({max: 60})), {maxLength: 200}),
			(steps) => {
				let window = createRetryWindow();
				let now = 0;
				const requests: number[] = [];
				const retries: number[] = [];
				for (const [isRequest, pause] of steps) {
					now += pause;
					if (isRequest) {
						window = recordWindowRequest(window, bounds, now);
						requests.push(now);
						continue;
					}

					const [next, isAllowed] = decideWindowRetry(window, bounds, now);
					window = next;
					if (isAllowed) {
						retries.push(now);
						const since = now - bounds.windowMs;
						const recent = (times: number[]) =>
							times.filter((time) => time >= since).length;
						expect(recent(retries)).toBeLessThanOrEqual(
							bounds.ratio * recent(requests) + bounds.slack,
						);
					}
				}
			},
		),
		{seed: 7},
	);
});

test('a steady load counts in full, also just after it ends', () => {
	const times = Array.from({length: 300}, (_, index) => index * 10);
	expect(countCertainRequests(times, 1000, 2990)).toBe(100);
});

// Guards against requests that lie in two windows of the rule when a late repeat arrives.
test('of a load that lasts one window the requests count that lie in one window of the rule', () => {
	const times = Array.from({length: 100}, (_, index) => index * 10);
	expect(countCertainRequests(times, 1000, 990)).toBe(75);
});

// Guards against a budget that shrinks at the start of a load.
test('a load shorter than half a window counts in full', () => {
	const times = Array.from({length: 50}, (_, index) => index * 10);
	expect(countCertainRequests(times, 1000, 490)).toBe(50);
});

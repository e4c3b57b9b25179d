import {expect, test} from 'vitest';
import {CallQueue, maxBacklogMs, type QueuedCall} from '../call-queue.js';

const buildCall = (
	value: string,
	overrides: Partial<QueuedCall<string>> = {},
): QueuedCall<string> => ({
	value,
	customer: 'castle',
	priority: 5,
	latestStartAt: 1000,
	maxWaitMs: 200,
	...overrides,
});

const takeAll = (queue: CallQueue<string>) => {
	const taken: string[] = [];
	for (let next = queue.take(0); next; next = queue.take(0)) {
		taken.push(next);
	}

	return taken;
};

/** Lets calls begin at a pace while others wait, for a time; returns the time after that, in milliseconds. */
function runSteadily(
	queue: CallQueue<string>,
	intervalMs: number,
	durationMs: number,
): number {
	let now = 0;
	const call = buildCall('steady', {latestStartAt: Number.POSITIVE_INFINITY});
	queue.tryAdd(call, now);
	while (now < durationMs) {
		queue.tryAdd(call, now);
		now += intervalMs;
		queue.take(now);
	}

	return now;
}

// Load pattern: a process that stood still finds many calls at once.
test('calls that wait together after a pause all begin', () => {
	const queue = new CallQueue<string>();
	for (let count = 0; count < 500; count++) {
		expect(queue.tryAdd(buildCall(`call-${count}`), 0)).toBe(true);
	}

	expect(takeAll(queue)).toHaveLength(500);
});

// Load pattern: calls arrive faster than they begin, for long.
test('in a lasting overload calls that can not begin in time are refused at once', () => {
	const queue = new CallQueue<string>();
	const now = runSteadily(queue, 50, maxBacklogMs + 100);
	const latestStartAt = now + 1000;
	const accepted = Array.from({length: 100}, (_, count) =>
		queue.tryAdd(buildCall(`call-${count}`, {latestStartAt}), now),
	);
	// One waits already, and 200 ms suffice for four more at 50 ms each.
	expect(accepted.filter(Boolean)).toHaveLength(4);
	expect(accepted.slice(0, 4).every(Boolean)).toBe(true);
});

// Load pattern: a process that has just started is slow for a moment.
test('in a short shortage calls wait as long as their callers do', () => {
	const queue = new CallQueue<string>();
	const now = runSteadily(queue, 50, 1000);
	const latestStartAt = now + 1000;
	const accepted = Array.from({length: 100}, (_, count) =>
		queue.tryAdd(buildCall(`call-${count}`, {latestStartAt}), now),
	);
	expect(accepted.filter(Boolean)).toHaveLength(20);
});

test('the pace recovers when calls begin at once again', () => {
	const queue = new CallQueue<string>();
	const now = runSteadily(queue, 50, 1000);
	for (let count = 0; count < 50; count++) {
		queue.tryAdd(buildCall('quick', {latestStartAt: now}), now);
		queue.take(now);
	}

	expect(queue.intervalMs).toBeLessThan(0.01);
});

// Load pattern: the servers have become slow, and no call begins for a while.
test('calls that wait behind others of which none begins are refused', () => {
	const queue = new CallQueue<string>();
	const latestStartAt = 3 * maxBacklogMs;
	expect(queue.tryAdd(buildCall('one', {latestStartAt}), 0)).toBe(true);
	const two = buildCall('two', {latestStartAt});
	expect(queue.tryAdd(two, maxBacklogMs)).toBe(true);
	const three = buildCall('three', {latestStartAt});
	expect(queue.tryAdd(three, maxBacklogMs + 1)).toBe(false);
});

test('one customer with many calls does not hold up the others', () => {
	const queue = new CallQueue<string>();
	for (let count = 0; count < 20; count++) {
		queue.tryAdd(buildCall(`many-${count}`), 0);
	}

	queue.tryAdd(buildCall('single', {customer: 'tower'}), 0);
	expect(takeAll(queue).indexOf('single')).toBeLessThan(3);
});

test('an urgent call begins before others of its customer', () => {
	const queue = new CallQueue<string>();
	queue.tryAdd(buildCall('other'), 0);
	queue.tryAdd(buildCall('urgent', {priority: 1}), 0);
	expect(takeAll(queue)).toEqual(['urgent', 'other']);
});

test('calls that have become late or were removed do not begin', () => {
	const queue = new CallQueue<string>();
	queue.tryAdd(buildCall('late', {latestStartAt: 100}), 0);
	queue.tryAdd(buildCall('left'), 0);
	queue.tryAdd(buildCall('kept'), 0);
	expect(queue.removeLate(101)).toEqual(['late']);
	expect(queue.remove('left')).toBe(true);
	expect(queue.remove('left')).toBe(false);
	expect(takeAll(queue)).toEqual(['kept']);
});

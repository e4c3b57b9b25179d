import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	addTurn,
	computeTurnDelayMs,
	createTurnQueue,
	takeTurn,
	type TurnQueue,
	type TurnRequest,
} from '../turn-queue.js';

const buildRequest = (
	id: string,
	overrides: Partial<TurnRequest<string>> = {},
): TurnRequest<string> => ({
	id,
	priority: 1,
	customer: 'gates',
	weight: 1,
	latestAt: Number.POSITIVE_INFINITY,
	...overrides,
});

/** Adds requests at one time; returns the queue and those that were refused. */
function addAll(
	requests: ReadonlyArray<TurnRequest<string>>,
	perSecond: number,
	now: number,
) {
	let queue: TurnQueue<string> = createTurnQueue(now);
	const refused: string[] = [];
	for (const request of requests) {
		const [next, late] = addTurn(queue, request, perSecond, now);
		queue = next;
		refused.push(...late);
	}

	return {queue, refused};
}

/** Takes turns every 10 ms until a time; returns them with their times. */
function takeUntil(
	start: TurnQueue<string>,
	perSecond: number,
	from: number,
	until: number,
) {
	let queue = start;
	const taken: Array<{id: string; at: number}> = [];
	for (let now = from; now <= until; now += 10) {
		const [next, id] = takeTurn(queue, perSecond, now);
		queue = next;
		if (id !== undefined) {
			taken.push({id, at: now});
		}
	}

	return taken;
}

// Guards against limits that are rounded down: most are small and fractional.
test.each([0.25, 1, 1.5, 2.2, 8])(
	'turns come at the pace of a limit of %s a second, no faster and at least at 0.9 of it',
	(perSecond) => {
		const requests = Array.from({length: 600}, (_, index) =>
			buildRequest(`r${index}`),
		);
		const {queue} = addAll(requests, perSecond, 0);
		const taken = takeUntil(queue, perSecond, 0, 60_000);
		expect(taken.length).toBeLessThanOrEqual(60 * perSecond);
		expect(taken.length).toBeGreaterThanOrEqual(0.9 * 60 * perSecond - 1);
	},
);

test('whatever arrives when, no span has more turns than its length allows, and one', () => {
	fc.assert(
		fc.property(
			fc.array(fc.integer({min: 0, max: 20_000}), {maxLength: 200}),
			fc.double({min: 0.1, max: 10, noNaN: true}),
			(arrivals, perSecond) => {
				let queue: TurnQueue<string> = createTurnQueue(0);
				const times: number[] = [];
				const sorted = arrivals.toSorted((a, b) => a - b);
				for (let now = 0; now <= 20_000; now += 10) {
					while ((sorted[0] ?? Number.POSITIVE_INFINITY) <= now) {
						sorted.shift();
						[queue] = addTurn(
							queue,
							buildRequest(`r${sorted.length}`),
							perSecond,
							now,
						);
					}

					const [next, id] = takeTurn(queue, perSecond, now);
					queue = next;
					if (id !== undefined) {
						times.push(now);
					}
				}

				for (const [index, start] of times.entries()) {
					const within = times
						.slice(index)
						.filter((at) => at < start + 4000).length;
					// A late timer is made up for by 50 ms at most.
					expect(within).toBeLessThanOrEqual(Math.ceil(4.05 * perSecond) + 1);
				}
			},
		),
	);
});

test('a request whose turn comes too late is refused at once, with the time of its turn', () => {
	const requests = Array.from({length: 5}, (_, index) =>
		buildRequest(`r${index}`, {latestAt: 2500}),
	);
	const {queue, refused} = addAll(requests, 1, 0);
	expect(refused).toEqual(['r2', 'r3', 'r4']);
	expect(computeTurnDelayMs(queue, 1, 0)).toBe(3000);
});

test('a more urgent request comes first, and those that are late by it are refused at once', () => {
	const {refused, queue} = addAll(
		[
			buildRequest('low', {priority: 5, latestAt: 1500}),
			buildRequest('high', {priority: 0, latestAt: 1500}),
		],
		1,
		0,
	);
	expect(refused).toEqual(['low']);
	expect(takeUntil(queue, 1, 0, 2000).map(({id}) => id)).toEqual(['high']);
});

test('customers have turns by their weights, however many requests each has', () => {
	const requests = [
		...Array.from({length: 40}, (_, index) => buildRequest(`many${index}`)),
		...Array.from({length: 10}, (_, index) =>
			buildRequest(`few${index}`, {customer: 'hotels'}),
		),
		...Array.from({length: 40}, (_, index) =>
			buildRequest(`double${index}`, {customer: 'schools', weight: 2}),
		),
	];
	const {queue} = addAll(requests, 10, 0);
	const first = takeUntil(queue, 10, 0, 2000).map(({id}) => id);
	const count = (name: string) =>
		first.filter((id) => id.startsWith(name)).length;
	expect(first).toHaveLength(20);
	expect([count('many'), count('few'), count('double')]).toEqual([5, 5, 10]);
});

test('after a limit falls, the next turn comes at the new pace', () => {
	const {queue} = addAll([buildRequest('a'), buildRequest('b')], 8, 0);
	expect(takeUntil(queue, 8, 0, 130)).toEqual([{id: 'a', at: 130}]);
	const [after] = takeTurn(queue, 8, 130);
	expect(takeTurn(after, 0.25, 4000)[1]).toBeUndefined();
	expect(takeTurn(after, 0.25, 4200)[1]).toBe('b');
});

// Guards against a request that was accepted and is refused later, as a timer was a little late.
test('a request whose turn is just in time keeps it, although others arrive before a late timer', () => {
	let {queue} = addAll(
		[buildRequest('a'), buildRequest('b', {latestAt: 2000})],
		1,
		0,
	);
	const [next, late] = addTurn(
		queue,
		buildRequest('c', {latestAt: 1100}),
		1,
		1003,
	);
	queue = next;
	expect(late).toEqual(['c']);
	expect(takeUntil(queue, 1, 1010, 2100).map(({id}) => id)).toEqual(['a', 'b']);
});

import {describe, expect, it} from 'vitest';
import {WorkScheduler} from '../scheduler.js';

const createScheduler = () =>
	new WorkScheduler<number>({
		slots: 2,
		maxQueued: 3,
		maxRunningCost: 100,
		priorityCost: 0,
	});
const createWork = (value: number, cost: number) => ({
	shares: [{key: 'customer', weight: 1}],
	cost,
	priority: 0,
	value,
});

describe('WorkScheduler', () => {
	it('keeps to its slots and to the cost that may run at once', () => {
		const scheduler = createScheduler();
		for (const [value, cost] of [500, 10, 10].entries()) {
			scheduler.add(createWork(value, cost));
		}

		expect(scheduler.isFull).toBe(true);
		// A large item runs alone, since it always passes.
		expect(scheduler.take(0)?.value).toBe(0);
		expect(scheduler.take(0)).toBeUndefined();
		scheduler.finish(500, 10);
		expect(scheduler.take(10)?.value).toBe(1);
		expect(scheduler.take(10)?.value).toBe(2);
		expect(scheduler.queued).toBe(0);
	});

	it('reports what waits and runs, and the rate while busy', () => {
		const scheduler = createScheduler();
		scheduler.add(createWork(1, 50));
		scheduler.add(createWork(2, 50));
		scheduler.add(createWork(3, 30));
		scheduler.take(1000);
		scheduler.take(1000);
		expect(scheduler.describeLoad(1000)).toEqual({
			queued: 30,
			running: 100,
			rate: 0,
		});
		scheduler.finish(50, 1050);
		scheduler.finish(50, 1100);
		expect(scheduler.describeLoad(1100).rate).toBe(1000);
		expect(scheduler.estimateWait(1100)).toBe(30);
		expect(scheduler.describeLoad(60_000).rate).toBe(0);
	});
});

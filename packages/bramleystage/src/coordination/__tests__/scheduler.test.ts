import {describe, expect, it} from 'vitest';
import {WorkScheduler} from '../scheduler.js';

const createScheduler = () =>
	new WorkScheduler<number>({
		slots: 2,
		maxQueued: 3,
		findMaxRunningCost: () => 100,
		priorityCost: 0,
	});
const createWork = (value: number, cost: number) => ({
	sharePath: [{key: 'customer', weight: 1}],
	cost,
	priority: 0,
	value,
});

describe('WorkScheduler', () => {
	it('limits the running items by slots and by cost', () => {
		const scheduler = createScheduler();
		for (const [value, cost] of [500, 10, 10].entries()) {
			scheduler.add(createWork(value, cost));
		}

		expect(scheduler.isFull).toBe(true);
		// An item above the cost limit still starts if none is running.
		const first = scheduler.startNext(0);
		expect(first?.work.value).toBe(0);
		expect(scheduler.startNext(0)).toBeUndefined();
		if (first) {
			scheduler.finish(first, 10);
		}

		expect(scheduler.startNext(10)?.work.value).toBe(1);
		expect(scheduler.startNext(10)?.work.value).toBe(2);
		expect(scheduler.queued).toBe(0);
	});

	it('reports queued and running cost, and the rate while busy', () => {
		const scheduler = createScheduler();
		scheduler.add(createWork(1, 50));
		scheduler.add(createWork(2, 50));
		scheduler.add(createWork(3, 30));
		const running = [scheduler.startNext(1000), scheduler.startNext(1000)];
		expect(scheduler.describeLoad(1000)).toEqual({
			queued: 30,
			running: 100,
			rate: 0,
		});
		for (const [index, work] of running.entries()) {
			if (work) {
				scheduler.finish(work, 1050 + 50 * index);
			}
		}

		expect(scheduler.describeLoad(1100)).toEqual({
			queued: 30,
			running: 0,
			rate: 1000,
			stepMs: 65,
		});
		expect(scheduler.describeLoad(60_000).rate).toBe(0);
	});

	it('counts the reserved work of open stages as queued', () => {
		const scheduler = createScheduler();
		scheduler.reserve('stage', 80);
		scheduler.add(createWork(1, 30), 'stage');
		expect(scheduler.describeLoad(0).queued).toBe(80);
		scheduler.add(createWork(2, 70), 'stage');
		expect(scheduler.describeLoad(0).queued).toBe(100);
		scheduler.reserve('other', 10);
		scheduler.release('stage');
		scheduler.release('other');
		expect(scheduler.describeLoad(0).queued).toBe(100);
	});
});

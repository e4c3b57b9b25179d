import {expect, test, vi} from 'vitest';
import {LifeCycle} from '../life-cycle.js';

test('clean-ups run once, newest first', async () => {
	const order: string[] = [];
	const lifeCycle = new LifeCycle();
	lifeCycle.register(() => {
		order.push('first');
	});
	lifeCycle.register(() => {
		order.push('second');
	});
	await lifeCycle.stop();
	await lifeCycle.stop();
	expect(order).toEqual(['second', 'first']);
});

test('a clean-up registered after the stop runs immediately', async () => {
	const lifeCycle = new LifeCycle();
	await lifeCycle.stop();
	const cleanUp = vi.fn();
	lifeCycle.register(cleanUp);
	expect(cleanUp).toHaveBeenCalledOnce();
});

test('a timer registered after the stop never fires', async () => {
	vi.useFakeTimers();
	const lifeCycle = new LifeCycle();
	await lifeCycle.stop();
	const act = vi.fn();
	lifeCycle.registerTimeout(1000, act);
	lifeCycle.registerInterval(1000, act);
	expect(vi.getTimerCount()).toBe(0);
	vi.useRealTimers();
});

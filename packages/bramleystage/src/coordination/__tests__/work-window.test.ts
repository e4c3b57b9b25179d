import {expect, test} from 'vitest';
import {
	createWorkWindow,
	hasRoom,
	recordCallStart,
	recordDelay,
	type WorkWindow,
} from '../work-window.js';

const targetMs = 500;

const buildWindow = (running: number): WorkWindow => {
	let window = createWorkWindow();
	for (let count = 0; count < running; count++) {
		window = recordCallStart(window);
	}

	return window;
};

/** Records answers that began after a delay, one each 10 ms. */
function recordDelays(
	window: WorkWindow,
	delayMs: number,
	count: number,
	from: number,
): WorkWindow {
	let next = window;
	for (let index = 0; index < count; index++) {
		next = recordDelay(next, delayMs, targetMs, from + index * 10);
	}

	return next;
}

test('there is room for all calls while answers begin in time, or a little late', () => {
	for (const delayMs of [300, 900]) {
		const window = recordDelays(buildWindow(5000), delayMs, 500, 0);
		expect(hasRoom(window)).toBe(true);
	}
});

test('single late answers leave the window as it is', () => {
	const window = recordDelays(buildWindow(100), 2000, 3, 0);
	expect(hasRoom(window)).toBe(true);
});

// Load pattern: more calls run than the servers answer in time.
test('the window shrinks once for each time that an answer takes', () => {
	const first = recordDelays(buildWindow(100), 2000, 10, 0);
	expect(first.limit).toBe(85);
	expect(hasRoom(first)).toBe(false);
	// Calls that were sent before the step say nothing about it.
	expect(recordDelays(first, 2000, 190, 100).limit).toBe(85);
	expect(recordDelays(first, 2000, 300, 100).limit).toBeLessThan(85);
});

// Load pattern: the overload is over, and callers still come.
test('a window that is in use doubles within two seconds when answers begin in time', () => {
	let window = {...buildWindow(100), limit: 20, changedAt: 0};
	window = recordDelays(window, 100, 200, 0);
	expect(window.limit).toBeGreaterThan(40);
});

import {expect, test} from 'vitest';
import {
	computeExplainedMs,
	noWaitSigns,
	recordFirstEventDelay,
	recordQueue,
	recordSign,
} from '../wait-signs.js';

// Guards against streams that stay with a dead engine because it was crowded.
test('nothing is explained once an engine has been quiet for the time between two inspections', () => {
	const signs = recordQueue(noWaitSigns, true, 1000);
	expect(computeExplainedMs(signs, 1150)).toBe(1000);
	expect(computeExplainedMs(signs, 1151)).toBe(0);
	expect(computeExplainedMs(recordSign(signs, 1140), 1151)).toBe(1000);
});

// Guards against a queue that goes on explaining waits after it has drained.
test('a report without a queue, or an old one, explains no wait', () => {
	const crowded = recordQueue(noWaitSigns, true, 1000);
	const drained = recordQueue(crowded, false, 1100);
	expect(computeExplainedMs(drained, 1100)).toBe(0);
	expect(recordQueue(drained, true, 1050)).toBe(drained);
	expect(computeExplainedMs(recordSign(crowded, 3100), 3100)).toBe(0);
	expect(computeExplainedMs(noWaitSigns, 0)).toBe(0);
});

// Guards against a single late first event that keeps streams on a stuck path.
test('a rise of first-event delays explains waits of 2.5 times as long, up to 3 s', () => {
	let signs = recordFirstEventDelay(noWaitSigns, 60, 1000);
	signs = recordFirstEventDelay(signs, 560, 1000);
	expect(computeExplainedMs(signs, 1000)).toBeCloseTo(2.5 * 160);
	for (let count = 0; count < 50; count++) {
		signs = recordFirstEventDelay(signs, 2000, 1000);
	}

	expect(computeExplainedMs(signs, 1000)).toBe(3000);
	// Delays of an earlier load are forgotten.
	const later = recordFirstEventDelay(signs, 60, 4000);
	expect(computeExplainedMs(later, 4000)).toBe(150);
});

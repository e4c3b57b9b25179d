import {expect, test} from 'vitest';
import {toBackendId} from '../../protocol/ids.js';
import {
	createAvoidance,
	isAvoided,
	recordSuccess,
	recordFailure,
	removeFailures,
} from '../avoidance.js';

const id = toBackendId('engine');

test('a server that cannot be reached is avoided at once, for a while', () => {
	const avoidance = recordFailure(createAvoidance(), id, 'unreachable', 1000);
	expect(isAvoided(avoidance, id, 1001)).toBe(true);
	expect(isAvoided(avoidance, id, 9000)).toBe(false);
});

test('a single cut connection does not suffice for an avoidance', () => {
	const once = recordFailure(createAvoidance(), id, 'cut', 1000);
	expect(isAvoided(once, id, 1001)).toBe(false);
	const twice = recordFailure(once, id, 'cut', 1000);
	expect(isAvoided(twice, id, 1001)).toBe(true);
});

test('weak signals that are far apart do not add up', () => {
	let avoidance = createAvoidance();
	for (let turn = 0; turn < 10; turn++) {
		avoidance = recordFailure(avoidance, id, 'refused', turn * 3000);
		expect(isAvoided(avoidance, id, turn * 3000 + 1)).toBe(false);
	}
});

test('consecutive avoidances last longer, and a success ends the doubling', () => {
	const first = recordFailure(createAvoidance(), id, 'unreachable', 0);
	const second = recordFailure(first, id, 'unreachable', 2000);
	expect(isAvoided(second, id, 4500)).toBe(true);
	const afterSuccess = recordSuccess(second, id, 6000);
	const third = recordFailure(afterSuccess, id, 'unreachable', 7000);
	expect(isAvoided(third, id, 9000)).toBe(false);
});

test('removing the failures of a restarted server ends its avoidance', () => {
	const avoidance = recordFailure(createAvoidance(), id, 'replaced', 0);
	expect(isAvoided(removeFailures(avoidance, id), id, 1)).toBe(false);
});

test('one error is enough if the server had no success lately, and not otherwise', () => {
	const known = recordSuccess(createAvoidance(), id, 1000);
	const soon = recordFailure(known, id, 'failed', 2000);
	expect(isAvoided(soon, id, 2001)).toBe(false);
	const late = recordFailure(known, id, 'failed', 3000);
	expect(isAvoided(late, id, 6999)).toBe(true);
	expect(isAvoided(late, id, 7000)).toBe(false);
	const unknown = recordFailure(createAvoidance(), id, 'failed', 1000);
	expect(isAvoided(unknown, id, 1001)).toBe(true);
});

test('load pattern: 68 gateways that each know a few requests leave a server that answers only errors', () => {
	const servers = ['a', 'b', 'c', 'd', 'e'].map((name) => toBackendId(name));
	const [faulty] = servers;
	const requestIntervalMs = 3000;
	let requests = 0;
	let errors = 0;
	for (let gateway = 0; gateway < 68; gateway++) {
		const preferred = servers[gateway % servers.length] ?? id;
		let avoidance = createAvoidance();
		const start = (gateway * requestIntervalMs) / 68;
		for (let now = start; now < 20_000; now += requestIntervalMs) {
			requests++;
			if (preferred !== faulty || isAvoided(avoidance, preferred, now)) {
				continue;
			}

			errors++;
			avoidance = recordFailure(avoidance, preferred, 'failed', now);
		}
	}

	// Half of the fifth that would go there without avoidance.
	expect(errors / requests).toBeLessThan(0.1);
});

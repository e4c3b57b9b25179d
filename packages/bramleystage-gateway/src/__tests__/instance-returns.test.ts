import {
	type Backend,
	toBackendId,
	toDataCentreId,
	toServiceName,
} from 'bramleystage';
import {beforeEach, expect, test} from 'vitest';
import {Fleet} from '../fleet.js';

const id = toBackendId('s1');
let now: number;
let fleet: Fleet;

const buildBackend = (bornAt: number): Backend => ({
	id,
	service: toServiceName('desk'),
	address: '10.0.0.1:80',
	dataCentre: toDataCentreId('a'),
	isDraining: false,
	kind: undefined,
	layers: undefined,
	models: [],
	slots: 6,
	bornAt,
});

beforeEach(() => {
	now = 0;
	const ignore = () => undefined;
	fleet = new Fleet({
		dataCentre: toDataCentreId('a'),
		logger: {error: ignore, warn: ignore, info: ignore, debug: ignore},
		readClock: () => now,
		countGateways: () => 1,
		readLinkDelayMs: () => 0,
	});
	fleet.replace([buildBackend(100)], now);
	fleet.health.recordPause(id, '30');
});

// Guards against requests to a server that asked for a pause, was cut off from the store and is listed again.
test('a pause outlasts the absence of an entry', () => {
	fleet.apply([{id}], now);
	now = 5000;
	fleet.replace([], now);
	fleet.apply([{id, backend: buildBackend(100)}], now);
	expect(fleet.health.isPaused(id)).toBe(true);
	now = 30_001;
	expect(fleet.health.isPaused(id)).toBe(false);
});

test('a new instance takes no pause over', () => {
	fleet.apply([{id}], now);
	fleet.apply([{id, backend: buildBackend(200)}], now);
	expect(fleet.health.isPaused(id)).toBe(false);
});

test('a restart under the same entry ends a pause', () => {
	fleet.apply([{id, backend: buildBackend(200)}], now);
	expect(fleet.health.isPaused(id)).toBe(false);
});

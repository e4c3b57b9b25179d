import {LifeCycle} from 'bramleystage';
import {ok} from 'neverthrow';
import {expect, test} from 'vitest';
import {followBackends} from '../backend-follower.js';
import type {Fleet} from '../fleet.js';
import type {StorePort} from '../platform-port.js';
import {StoreContact} from '../store-contact.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};

// Guards against a server that leaves unseen since the page before counted as all that there was.
test('a page of changes that ends before the end of the log does not make the list newer', async () => {
	const lifeCycle = new LifeCycle();
	const reads: number[] = [];
	const appliedAt: number[] = [];
	let loadedAt = 0;
	const fleet = {
		readAt: 0,
		snapshots: {value: {backends: new Map()}},
		recordStoreEra: () => undefined,
		replace(_: unknown, readAt: number) {
			loadedAt = readAt;
			this.readAt = readAt;
		},
		apply(_: unknown, readAt: number) {
			appliedAt.push(readAt);
			this.readAt = readAt;
		},
	};
	let now = 5000;
	const readAll = new Promise<void>((resolve) => {
		const store = {
			loadBackends: async () => ok({era: 1, changes: [], next: 3, skipped: []}),
			async readBackends(from: number) {
				reads.push(from);
				if (reads.length > 1) {
					resolve();
				}

				return ok({
					era: 1,
					changes: [],
					next: from + 2,
					hasMore: reads.length === 1,
					skipped: [],
				});
			},
		};
		followBackends({
			store: store as unknown as StorePort,
			fleet: fleet as unknown as Fleet,
			readMaxAgeMs: () => 100,
			contact: new StoreContact(),
			lifeCycle,
			logger,
			readClock() {
				now += 200;
				return now;
			},
		});
	});
	await readAll;
	await lifeCycle.stop();
	expect(reads).toEqual([3, 5]);
	// The first page leaves the list as old as it was.
	expect(appliedAt[0]).toBe(loadedAt);
	expect(appliedAt[1]).toBeGreaterThan(loadedAt);
});

/** What an agent reports of its engine's prefix cache, from events that arrive late and with gaps. */
import {listPrefixBlocks, maxReportedChanges, toModelName} from 'bramleystage';
import {describe, expect, it} from 'vitest';
import type {CacheEvent} from '../cache-events.js';
import {CacheFollower} from '../cache-follower.js';

const model = toModelName('model');
const nameBlocks = (text: string) => listPrefixBlocks(model, '1', text);
const shared = nameBlocks('Answer as the desk of a small hotel. '.repeat(20));
const tokens = Array.from({length: 16}, () => 1);

/** Events as an engine publishes them: `s` for stored, `r` for removed, `-` for lost. */
const createEvents = (kinds: string): CacheEvent[] =>
	[...kinds].flatMap((kind, number) =>
		kind === '-'
			? []
			: [
					kind === 's'
						? {number, type: 'stored' as const, tokens}
						: {number, type: 'removed' as const},
				],
	);

/** Creates a follower of an engine whose events can be replaced. */
const createFollower = (kinds: string | undefined) => {
	let published = kinds;
	const follower = new CacheFollower(async (from) =>
		published === undefined
			? undefined
			: {
					next: published.length,
					events: createEvents(published).filter(({number}) => number >= from),
				},
	);
	return {
		follower,
		publish(changed: string | undefined) {
			published = changed;
		},
	};
};

const runTwice = (follower: CacheFollower) => {
	follower.recordRun(shared, 0);
	follower.recordRun(shared, 1);
};

describe('CacheFollower', () => {
	it('reports the blocks that several prompts had', async () => {
		const {follower} = createFollower('sss');
		await follower.refresh();
		follower.recordRun(shared, 0);
		expect(follower.createReport(5)?.blocks).toEqual([]);
		follower.recordRun(shared, 1);
		const report = follower.createReport(5);
		expect(report).toMatchObject({first: 0, blocks: shared, room: 5});
		expect(report?.capacityTokens).toBeUndefined();
	});

	// Guards against a preference for an engine that keeps no prompt.
	it('reports nothing of an engine that publishes no events', async () => {
		const {follower} = createFollower(undefined);
		await follower.refresh();
		runTwice(follower);
		expect(follower.createReport(5)).toBeUndefined();
		expect(follower.estimateTokens(shared)).toBe(0);
	});

	// Guards against blocks that an engine has evicted and entries still expect.
	it('removes the least recently used blocks when the engine evicts', async () => {
		const {follower, publish} = createFollower('ssss');
		await follower.refresh();
		runTwice(follower);
		publish('ssssrr');
		await follower.refresh();
		const report = follower.createReport(5);
		expect(report?.capacityTokens).toBe(64);
		expect(report?.removed.length).toBeGreaterThan(0);
		expect(follower.estimateTokens(shared)).toBe(0);
	});

	// Guards against evictions that nobody told: a lost event may have been one.
	it('counts a lost event as a removal once the engine evicts', async () => {
		const {follower, publish} = createFollower('s'.repeat(100));
		await follower.refresh();
		publish(`${'s'.repeat(100)}r`);
		await follower.refresh();
		runTwice(follower);
		publish(`${'s'.repeat(100)}r--s`);
		await follower.refresh();
		expect(follower.createReport(5)?.removed.length).toBeGreaterThan(0);
	});

	it.each([
		['a restart of the engine', 'ss'],
		['a restart without events', ''],
		['a long gap', `ssss${'-'.repeat(20)}s`],
	])('knows nothing after %s', async (_, changed) => {
		const {follower, publish} = createFollower('ssss');
		await follower.refresh();
		runTwice(follower);
		const epoch = follower.createReport(5)?.epoch;
		publish(changed);
		await follower.refresh();
		expect(follower.estimateTokens(shared)).toBe(0);
		const report = follower.createReport(5);
		expect(report?.blocks).toEqual([]);
		expect(report?.epoch).not.toBe(epoch);
	});

	// Guards against a loss of all knowledge whenever a busy engine answers late.
	it('keeps what it knows for some failed reads, not for many', async () => {
		const {follower, publish} = createFollower('ssss');
		await follower.refresh();
		runTwice(follower);
		publish(undefined);
		await follower.refresh();
		expect(follower.estimateTokens(shared)).toBeGreaterThan(0);
		for (let read = 0; read < 4; read++) {
			await follower.refresh();
		}

		expect(follower.estimateTokens(shared)).toBe(0);
	});

	// Guards against heartbeats that grow with the number of prompts.
	it('bounds a report, and numbers what it leaves out', async () => {
		const {follower} = createFollower('s');
		await follower.refresh();
		for (let prompt = 0; prompt < 30; prompt++) {
			const blocks = nameBlocks(`${prompt} `.repeat(400));
			follower.recordRun(blocks, prompt);
			follower.recordRun(blocks, prompt);
		}

		const report = follower.createReport(5);
		expect(report?.blocks).toHaveLength(maxReportedChanges);
		expect(report?.first).toBeGreaterThan(0);
	});
});

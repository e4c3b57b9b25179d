import {describe, expect, it} from 'vitest';
import {toHostId, toIncarnation, toModelName} from '../../protocol/ids.js';
import type {PrefixReport} from '../../protocol/prefix-messages.js';
import {
	computeBlockTokens,
	listPrefixBlocks,
	listStageBlocks,
} from '../prefix-blocks.js';
import {computeNetSaving, PrefixSavings} from '../prefix-savings.js';

const model = toModelName('model');
const process = {host: toHostId('a'), incarnation: toIncarnation('1')};
const span = {fromLayer: 0, toLayer: 16};
const opening = 'Answer as the desk of a small hotel would. '.repeat(40);
const blocks = listStageBlocks(listPrefixBlocks(model, '1', opening), span);

const createReport = (changes: Partial<PrefixReport> = {}): PrefixReport => ({
	epoch: 0,
	first: 0,
	blocks: [],
	removed: [],
	room: 100,
	...changes,
});

const createSavings = (report = createReport()) => {
	const savings = new PrefixSavings();
	savings.recordReport(process, report, 0);
	return savings;
};

describe('names of prefixes', () => {
	// Guards against savings counted for text that is only similar.
	it('are equal as far as the beginnings are, and differ by model, version and layers', () => {
		const name = (text: string) => listPrefixBlocks(model, '1', text);
		const changed = `${opening.slice(0, 700)}!${opening.slice(701)}`;
		const same = name(changed).filter(
			(block, index) => block === name(opening)[index],
		);
		expect(same).toHaveLength(Math.floor(700 / 128));
		expect(listPrefixBlocks(model, '2', opening)[0]).not.toBe(name(opening)[0]);
		expect(
			listStageBlocks(name(opening), {fromLayer: 0, toLayer: 8})[0],
		).not.toBe(blocks[0]);
	});

	// Guards against messages and memory that grow with the prompt.
	it('number at most 64 and cover a prompt of 6,000 tokens', () => {
		const long = 'word '.repeat(20_000);
		const names = listPrefixBlocks(model, '1', long);
		expect(names).toHaveLength(64);
		let tokens = 0;
		for (const index of names.keys()) {
			tokens += computeBlockTokens(index);
		}

		expect(tokens).toBeGreaterThan(6000);
	});
});

describe('what is known of a host', () => {
	it('comes from prompts that were run there and counts leading blocks only', () => {
		const savings = createSavings();
		savings.recordRun(process, blocks, 0);
		const all = blocks.length * computeBlockTokens(0);
		expect(savings.estimateCachedTokens(process, blocks, 1)).toBeCloseTo(all);
		expect(
			savings.estimateCachedTokens(process, [1, ...blocks.slice(1)], 1),
		).toBe(0);
	});

	it('comes from reports, also those that list changes again', () => {
		const savings = createSavings();
		const report = createReport({blocks: [...blocks]});
		savings.recordReport(process, report, 10);
		savings.recordReport(process, report, 20);
		expect(savings.estimateCachedTokens(process, blocks, 30)).toBeGreaterThan(
			0,
		);
		const removal = createReport({
			blocks: [...blocks, blocks[0]!],
			removed: [blocks.length],
		});
		savings.recordReport(process, removal, 40);
		expect(savings.estimateCachedTokens(process, blocks, 50)).toBe(0);
	});

	// Guards against a preference for a process that keeps nothing.
	it.each([
		['a new incarnation', {...process, incarnation: toIncarnation('2')}, {}],
		['a new epoch', process, {epoch: 1}],
		['a gap in the changes', process, {first: 3}],
	])('is invalid after %s', (_, reporter, changes) => {
		const savings = createSavings();
		savings.recordRun(process, blocks, 0);
		savings.recordReport(reporter, createReport(changes), 10);
		expect(savings.estimateCachedTokens(reporter, blocks, 20)).toBe(0);
		expect(savings.estimateCachedTokens(process, blocks, 20)).toBe(0);
	});

	it('is nothing for an agent that reports no prefixes', () => {
		const savings = new PrefixSavings();
		savings.recordReport(process, undefined, 0);
		savings.recordRun(process, blocks, 0);
		expect(savings.estimateCachedTokens(process, blocks, 1)).toBe(0);
		expect(savings.hasRoom(process.host)).toBe(false);
	});

	// Guards against stale knowledge: engines evict without telling every block.
	it('expires when it is unused, and is bounded by what the engine keeps', () => {
		const savings = createSavings();
		savings.recordRun(process, blocks, 0);
		expect(savings.estimateCachedTokens(process, blocks, 200_000)).toBe(0);
		savings.recordRun(process, blocks, 200_000);
		const report = createReport({capacityTokens: 100});
		savings.recordReport(process, report, 200_001);
		expect(savings.estimateCachedTokens(process, blocks, 200_002)).toBe(0);
	});

	it('loses weight when it proves wrong, and is tried again later', () => {
		const savings = createSavings();
		savings.recordRun(process, blocks, 0);
		const first = savings.estimateCachedTokens(process, blocks, 0);
		for (let now = 0; now < 5; now++) {
			savings.recordFound(process, {expected: 100, found: 0}, now);
		}

		const distrusted = savings.estimateCachedTokens(process, blocks, 5);
		expect(distrusted).toBeLessThan(first * 0.2);
		const later = savings.estimateCachedTokens(process, blocks, 90_000);
		expect(later).toBeGreaterThan(first * 0.8);
	});

	it('stays within its memory for any number of prompts', () => {
		const savings = createSavings();
		for (let prompt = 0; prompt < 500; prompt++) {
			const names = listPrefixBlocks(model, '1', `${prompt} ${opening}`);
			savings.recordRun(process, names, prompt);
		}

		const described = savings.describe(500).a as {blocks: number};
		expect(described.blocks).toBeLessThanOrEqual(1024);
	});

	it('leaves no room once as many requests were sent as the agent accepts', () => {
		const savings = createSavings(createReport({room: 2}));
		expect(savings.hasRoom(process.host)).toBe(true);
		savings.recordSent(process.host, 5);
		savings.recordSent(process.host, 5);
		expect(savings.hasRoom(process.host)).toBe(false);
		expect(savings.estimateUnseenWaitMs(process.host, 3)).toBe(30);
	});
});

describe('the net saving', () => {
	const terms = {savedMs: 50, waitMs: 10, leastWaitMs: 10, hasRoom: true};

	it('is the prefill time that is left after the additional wait', () => {
		expect(computeNetSaving(terms)).toBe(50);
		expect(computeNetSaving({...terms, waitMs: 20})).toBe(30);
		expect(computeNetSaving({...terms, waitMs: 60})).toBe(0);
	});

	it('is none without room', () => {
		expect(computeNetSaving({...terms, hasRoom: false})).toBe(0);
	});
});

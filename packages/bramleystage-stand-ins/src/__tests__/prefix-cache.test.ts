import {expect, test} from 'vitest';
import {blockTokens, PrefixCache} from '../prefix-cache.js';

const createPrompt = (blocks: number, seed = 0) =>
	Array.from({length: blocks * blockTokens}, (_, index) => index + seed);

test('a prompt hits the leading blocks that it shares with an earlier prompt', () => {
	const cache = new PrefixCache({maxBlocks: 10, eventLagMs: 0, loseEvery: 0});
	const prompt = createPrompt(3);
	expect(cache.add(prompt, 0)).toBe(0);
	expect(cache.add(prompt, 0)).toBe(3 * blockTokens);
	const other = [...prompt.slice(0, blockTokens), ...createPrompt(2, 5000)];
	expect(cache.add(other, 0)).toBe(blockTokens);
	expect(cache.add(createPrompt(3, 7000), 0)).toBe(0);
});

test('the least recently used blocks are evicted when the cache is full', () => {
	const cache = new PrefixCache({maxBlocks: 2, eventLagMs: 0, loseEvery: 0});
	cache.add(createPrompt(2), 0);
	cache.add(createPrompt(2, 5000), 0);
	expect(cache.add(createPrompt(2), 0)).toBe(0);
	const {events} = cache.listEvents(0, 0);
	expect(events.some(({type}) => type === 'removed')).toBe(true);
});

test('events become visible after the lag', () => {
	const cache = new PrefixCache({maxBlocks: 9, eventLagMs: 200, loseEvery: 0});
	cache.add(createPrompt(2), 1000);
	expect(cache.listEvents(0, 1199)).toEqual({next: 0, events: []});
	const {next, events} = cache.listEvents(0, 1200);
	expect(events.map(({number}) => number)).toEqual([0, 1]);
	expect(events[1]?.parent).toBe(events[0]?.block);
	expect(cache.listEvents(next, 1200).events).toEqual([]);
});

test('a lost event leaves a gap in the sequence numbers', () => {
	const cache = new PrefixCache({maxBlocks: 9, eventLagMs: 0, loseEvery: 3});
	cache.add(createPrompt(5), 0);
	const {next, events} = cache.listEvents(0, 0);
	expect(events.map(({number}) => number)).toEqual([0, 1, 3, 4]);
	expect(next).toBe(5);
});

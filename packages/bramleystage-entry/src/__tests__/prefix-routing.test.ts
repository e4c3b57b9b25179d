/**
 * Conversations that share beginnings, over several engines and entries in
 * virtual time, with the choice by prefix caches and with today's choice, which
 * leaves them out. Engines keep prefixes in both cases.
 */
import {describe, expect, it} from 'vitest';
import {runSite, type SiteOptions} from './prefix-site.js';

const site: Omit<SiteOptions, 'usesPrefixes' | 'seed'> = {
	entries: 3,
	enginesPerRange: 4,
	requestsPerSecond: 6,
	durationMs: 60_000,
	lagMs: 50,
	keptTokens: 40_000,
	openings: 20,
	skew: 0,
	gapShare: 0,
	restartMs: Infinity,
	room: 1000,
};
const busySite = {...site, requestsPerSecond: 150, durationMs: 10_000};
const seeds = [1, 2, 3, 4];

const computeMean = (values: readonly number[]) => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
};

/** Runs a site with each seed; returns means over the runs. */
function measureSite(options: typeof site, usesPrefixes: boolean) {
	const runs = seeds.map((seed) => runSite({...options, usesPrefixes, seed}));
	const computeMeanOf = (select: (run: (typeof runs)[number]) => number) =>
		computeMean(runs.map((run) => select(run)));
	return {
		prefilledShare: computeMeanOf(
			({prefilledTokens, promptTokens}) => prefilledTokens / promptTokens,
		),
		firstMs: computeMeanOf(({firstMs}) => computeMean(firstMs)),
		slowFirstMs: computeMeanOf(
			({firstMs}) => firstMs[Math.floor(firstMs.length * 0.99)] ?? 0,
		),
		worstWaitMs: computeMeanOf(({worstWaitMs}) => worstWaitMs),
	};
}

const compareSite = (options: typeof site) => ({
	today: measureSite(options, false),
	byPrefix: measureSite(options, true),
});

// A difference below this share is within the spread of the runs.
const spread = 1.05;

describe('routing by prefix caches', () => {
	// Guards against prompts that are computed again beside a free holder.
	it.each([
		['equally popular beginnings', site],
		['skewed popularity', {...site, skew: 1.5}],
		['medium load', {...site, requestsPerSecond: 30, durationMs: 20_000}],
	])('saves prefill and time to the first token: %s', (_, options) => {
		const {today, byPrefix} = compareSite(options);
		expect(byPrefix.prefilledShare).toBeLessThan(today.prefilledShare * 0.95);
		expect(byPrefix.firstMs).toBeLessThan(today.firstMs * 0.95);
	});

	// Guards against a holder that is never compared, since few hosts are drawn.
	it('finds the holders of a prefix among many engines', () => {
		const {today, byPrefix} = compareSite({
			...site,
			enginesPerRange: 24,
			requestsPerSecond: 40,
			durationMs: 15_000,
		});
		expect(byPrefix.prefilledShare).toBeLessThan(today.prefilledShare * 0.7);
		expect(byPrefix.firstMs).toBeLessThan(today.firstMs * 0.7);
	});

	// Guards against a hot spot at the holder of a popular beginning.
	it.each([
		['equally popular beginnings', busySite],
		['skewed popularity', {...busySite, skew: 1.5}],
		['news that is a second old', {...busySite, skew: 1.5, lagMs: 1000}],
		['eight entries', {...busySite, skew: 1.5, entries: 8}],
		['saturation', {...busySite, skew: 1.5, requestsPerSecond: 300}],
	])('makes no wait worse at high load: %s', (_, options) => {
		const {today, byPrefix} = compareSite(options);
		expect(byPrefix.worstWaitMs).toBeLessThan(today.worstWaitMs * spread);
		expect(byPrefix.slowFirstMs).toBeLessThan(today.slowFirstMs * spread);
		expect(byPrefix.firstMs).toBeLessThan(today.firstMs * spread);
	});

	// Guards against a preference for what was evicted, lost or never told.
	it.each([
		['engines that keep three prompts', {...site, keptTokens: 6000}],
		['the same at high load', {...busySite, keptTokens: 6000}],
		['restarts', {...site, restartMs: 2000}],
		['gaps in half of the reports', {...site, gapShare: 0.5}],
		['gaps in all reports', {...site, gapShare: 1}],
		['news that is a second old', {...site, lagMs: 1000}],
	])('is no worse than the choice without them: %s', (_, options) => {
		const {today, byPrefix} = compareSite(options);
		expect(byPrefix.prefilledShare).toBeLessThan(today.prefilledShare * spread);
		expect(byPrefix.firstMs).toBeLessThan(today.firstMs * spread);
		expect(byPrefix.worstWaitMs).toBeLessThan(today.worstWaitMs * spread);
	});

	// Guards against work for a host that has no place for it.
	it('changes no choice while no host has room', () => {
		const {today, byPrefix} = compareSite({
			...site,
			durationMs: 20_000,
			room: 0,
		});
		expect(byPrefix.prefilledShare).toBe(today.prefilledShare);
	});
});

/** Retry budgets of gateways that are killed, started, added and removed. */
import {expect, test, vi} from 'vitest';
import {drawRetryCase, type RetryCase} from '../retry-cases.js';
import {type RetryReport, runRetryCase} from '../retry-simulation.js';
import {listCaseSeeds} from '../state-check.js';

// A case takes its time from the machine, not from the simulated clock.
vi.setConfig({testTimeout: 240_000});

/** Rounding of sums of shares. */
const epsilon = 1e-9;

async function runCases(
	cases: readonly RetryCase[],
): Promise<Array<{readonly seed: number; readonly report: RetryReport}>> {
	const results = [];
	for (const retryCase of cases) {
		// Simulations replace the global timers, so one runs at a time.

		const report = await runRetryCase(retryCase);
		results.push({seed: retryCase.seed, report});
	}

	return results;
}

const drawCases = (seed: number, count: number, maxGateways: number) =>
	listCaseSeeds(seed, count).map((each) => drawRetryCase(each, {maxGateways}));

// Guards against slack that each start of a gateway brings anew.
test('repeats stay within the budget in every window while gateways restart', async () => {
	const results = await runCases(drawCases(1, 30, 12));
	expect(
		results.filter(({report}) => report.worstExcess > 0).map(({seed}) => seed),
	).toEqual([]);
});

// Guards against started gateways that divide the slack by the few that they have heard of.
test('the shares of the slack add up to at most one while gateways start', async () => {
	const results = await runCases(drawCases(2, 30, 30));
	expect(
		results
			.filter(({report}) => report.largestShares > 1 + epsilon)
			.map(({seed}) => seed),
	).toEqual([]);
});

const undisturbed = {...drawRetryCase(1, {maxGateways: 3}), troubles: []};

// Guards against a budget that is kept by allowing no retries.
test('at least 0.7 of the budget can be used when no gateway restarts', async () => {
	const cases = [3, 5, 27].map((gateways, index) => ({
		...undisturbed,
		seed: index,
		gateways,
		joinsAt: new Map<number, number>(),
		measureRate: () => 80,
		measureFailures: (now: number) => (now >= 10_000 ? 1 : 0),
	}));
	for (const {report} of await runCases(cases)) {
		expect(report.worstExcess).toBeLessThanOrEqual(0);
		expect(report.largestUse).toBeGreaterThanOrEqual(0.7);
		expect(report.lastUse).toBeGreaterThanOrEqual(0.7);
	}
});

// Guards against gateways that get no slack again after all of them have started anew.
test('slack is used again within a window after all gateways lost power', async () => {
	const failuresFromMs = 22_000;
	const cases = [3, 27].map((gateways, index) => ({
		...undisturbed,
		seed: 10 + index,
		gateways,
		joinsAt: new Map<number, number>(),
		measureRate: () => 40,
		measureFailures: (now: number) => (now >= failuresFromMs ? 1 : 0),
		troubles: [
			{
				kind: 'powerLoss' as const,
				at: 12_000,
				forMs: 400,
				targets: Array.from({length: gateways}, (_, target) => target),
				refusal: 'silent' as const,
				direction: 'both' as const,
			},
		],
	}));
	for (const {report} of await runCases(cases)) {
		expect(report.worstExcess).toBeLessThanOrEqual(0);
		expect(report.largestUse).toBeGreaterThanOrEqual(0.7);
	}
});

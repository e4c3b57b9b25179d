/** Gateways that follow the configuration while the store, links and other gateways fail. */
import {expect, test, vi} from 'vitest';
import {
	drawIslandCase,
	drawSingleFailureCase,
	drawStateCase,
	singleFailures,
} from '../state-cases.js';
import {listCaseSeeds, listStateViolations} from '../state-check.js';

// A case takes its time from the machine, not from the simulated clock.
vi.setConfig({testTimeout: 240_000});

// Guards against a version that is late, or gives way to an older one, at a gateway that could have got it.
test.each([1, 2, 3])(
	'each version is in force in time beside random troubles (seed %i)',
	async (seed) => {
		const cases = listCaseSeeds(seed, 25).map((each) =>
			drawStateCase(each, {maxGateways: 8}),
		);
		expect(await listStateViolations(cases)).toEqual([]);
	},
);

test('each version is in force in time at many gateways beside random troubles', async () => {
	const cases = listCaseSeeds(4, 6).map((each) =>
		drawStateCase(each, {maxGateways: 40}),
	);
	expect(await listStateViolations(cases)).toEqual([]);
});

// Guards against queries that wait for dead peers while another one has the version.
test('a version is in force in time when most gateways lose power or the store at once', async () => {
	const stateCase = drawStateCase(400_288, {
		maxGateways: 8,
		kinds: ['refuse', 'kill', 'redistribute', 'powerLoss'],
	});
	expect(await listStateViolations([stateCase])).toEqual([]);
});

// Guards against gateways that forget peers because the store does not list them as members.
test('gateways that the store turns away have each version in time while it lists only them', async () => {
	const cases = listCaseSeeds(1, 25).map((each) => drawIslandCase(each));
	expect(await listStateViolations(cases)).toEqual([]);
});

// Guards against a time limit that grows and makes each failure last longer for callers.
test.each(singleFailures)(
	'beside one failure a version is in force within the sum of its limits: $name',
	async (failure) => {
		const cases = listCaseSeeds(7, 40).map((each) =>
			drawSingleFailureCase(each, failure),
		);
		expect(await listStateViolations(cases)).toEqual([]);
	},
);

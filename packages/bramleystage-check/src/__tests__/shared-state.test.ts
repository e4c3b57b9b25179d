/** Gateways that follow the configuration while the store, links and other gateways fail. */
import {expect, test, vi} from 'vitest';
import {drawIslandCase, drawStateCase, type StateCase} from '../state-cases.js';
import {runStateCase} from '../state-simulation.js';

// A case takes its time from the machine, not from the simulated clock.
vi.setConfig({testTimeout: 240_000});

async function listViolations(cases: readonly StateCase[]): Promise<string[]> {
	const violations = [];
	for (const stateCase of cases) {
		const report = await runStateCase(stateCase);
		violations.push(
			...report.violations.map((line) => `case ${stateCase.seed}, ${line}`),
		);
	}

	return violations;
}

const listSeeds = (seed: number, count: number) =>
	Array.from({length: count}, (_, index) => seed * 100_000 + index);

// Guards against a version that is late, or gives way to an older one, at a gateway that could have got it.
test.each([1, 2, 3])(
	'each version is in force in time beside random troubles (seed %i)',
	async (seed) => {
		const cases = listSeeds(seed, 25).map((each) =>
			drawStateCase(each, {maxGateways: 8}),
		);
		expect(await listViolations(cases)).toEqual([]);
	},
);

test('each version is in force in time at many gateways beside random troubles', async () => {
	const cases = listSeeds(4, 6).map((each) =>
		drawStateCase(each, {maxGateways: 40}),
	);
	expect(await listViolations(cases)).toEqual([]);
});

// Guards against queries that wait for dead peers while another one has the version.
test('a version is in force in time when most gateways lose power or the store at once', async () => {
	const stateCase = drawStateCase(400_288, {
		maxGateways: 8,
		kinds: ['refuse', 'kill', 'redistribute', 'powerLoss'],
	});
	expect(await listViolations([stateCase])).toEqual([]);
});

// Guards against gateways that forget peers because the store does not list them as members.
test('gateways that the store turns away have each version in time while it lists only them', async () => {
	const cases = listSeeds(1, 25).map((each) => drawIslandCase(each));
	expect(await listViolations(cases)).toEqual([]);
});

/** Gateways that follow the configuration while the store, links and other gateways fail. */
import {expect, test} from 'vitest';
import {drawIslandCase, drawStateCase, type StateCase} from '../state-cases.js';
import {runStateCase} from '../state-simulation.js';

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
		const cases = listSeeds(seed, 60).map((each) =>
			drawStateCase(each, {maxGateways: 8}),
		);
		expect(await listViolations(cases)).toEqual([]);
	},
);

// Guards against gateways that forget peers because the store does not list them as members.
test('gateways that the store turns away have each version in time while it lists only them', async () => {
	const cases = listSeeds(1, 60).map((each) => drawIslandCase(each));
	expect(await listViolations(cases)).toEqual([]);
});

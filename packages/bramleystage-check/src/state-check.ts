/** Runs many cases of gateways that follow the configuration while something fails. */
import {drawIslandCase, drawStateCase, type StateCase} from './state-cases.js';
import {runStateCase} from './state-simulation.js';

const maxGateways = 8;
/** Cases per seed at most; the seeds of their cases don't overlap. */
const casesPerSeed = 100_000;

/** Lists what cases violate, each line with the seed of its case. */
export async function listStateViolations(
	cases: readonly StateCase[],
): Promise<string[]> {
	const violations = [];
	for (const stateCase of cases) {
		// Simulations replace the global timers, so one runs at a time.
		// eslint-disable-next-line no-await-in-loop
		const report = await runStateCase(stateCase);
		violations.push(
			...report.violations.map((line) => `case ${stateCase.seed}, ${line}`),
		);
	}

	return violations;
}

/** Lists the seeds of the cases of one seed. */
export const listCaseSeeds = (seed: number, count: number): number[] =>
	Array.from({length: count}, (_, index) => seed * casesPerSeed + index);

/** Runs random cases, every tenth of them an island; throws if one violates an invariant. */
export async function checkStates(seed: number, runs: number): Promise<void> {
	const cases = listCaseSeeds(seed, runs).map((each) =>
		each % 10 === 0 ? drawIslandCase(each) : drawStateCase(each, {maxGateways}),
	);
	const violations = await listStateViolations(cases);
	if (violations.length > 0) {
		throw new Error(`Property failed.\n${violations.join('\n')}`);
	}
}

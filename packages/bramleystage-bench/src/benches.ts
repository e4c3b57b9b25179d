/** The benches by name. Each resolves with the figures of its last line. */
import {runFairness} from './fairness-bench.js';
import {tableBench} from './table-bench.js';
import {limitsBench} from './limits-bench.js';
import {overheadBench} from './overhead-bench.js';
import {runOverload} from './overload-bench.js';
import {runRecoveryBench} from './recovery-bench.js';
import {runThroughput} from './throughput-bench.js';

/** Flags of a bench, as text; each bench reads those that it knows. */
export type BenchFlags = Readonly<Record<string, string>>;

export type Bench = {
	readonly describe: string;
	readonly run: (flags: BenchFlags) => Promise<object>;
};

export const benches: Readonly<Record<string, Bench>> = {
	fairness: {
		describe: 'Shares by weight under skewed and greedy demand',
		run: runFairness,
	},
	table: tableBench,
	limits: limitsBench,
	overhead: overheadBench,
	overload: {
		describe: 'Goodput and delays at three times the bound',
		run: runOverload,
	},
	recovery: {
		describe: 'Time from a fault to the callers’ next token',
		run: runRecoveryBench,
	},
	throughput: {
		describe: 'Tokens a second at saturation against the bound of the engines',
		run: runThroughput,
	},
};

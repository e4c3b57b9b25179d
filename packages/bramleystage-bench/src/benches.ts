/** All benches by name. */
import {capacityBench} from './capacity-bench.js';
import {runDecideBench} from './decide-bench.js';
import {runFairnessBench} from './fairness-bench.js';
import {tableBench} from './table-bench.js';
import {limitsBench} from './limits-bench.js';
import {overheadBench} from './overhead-bench.js';
import {runOverload} from './overload-bench.js';
import {runRecoveryBench} from './recovery-bench.js';
import {runThroughput} from './throughput-bench.js';

/** Flags of a bench by name, as text. A bench ignores flags that it does not define. */
export type BenchFlags = Readonly<Record<string, string>>;

export type Bench = {
	readonly describe: string;
	/** Resolves with the figures that are printed as the last line. */
	readonly run: (flags: BenchFlags) => Promise<object>;
};

export const benches: Readonly<Record<string, Bench>> = {
	capacity: capacityBench,
	decide: {
		describe: 'Time and bytes of a routing decision by number of engines',
		run: runDecideBench,
	},
	fairness: {
		describe: 'Shares by weight under skewed and greedy demand',
		run: runFairnessBench,
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

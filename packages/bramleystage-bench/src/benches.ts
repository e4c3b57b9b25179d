/** The benches by name. Each resolves with the figures of its last line. */
import {tableBench} from './table-bench.js';
import {limitsBench} from './limits-bench.js';
import {overheadBench} from './overhead-bench.js';
import {runRecoveryBench} from './recovery-bench.js';
import {runThroughput} from './throughput-bench.js';

/** Flags of a bench, as text; each bench reads those that it knows. */
export type BenchFlags = Readonly<Record<string, string>>;

export type Bench = {
	readonly describe: string;
	readonly run: (flags: BenchFlags) => Promise<object>;
};

export const benches: Readonly<Record<string, Bench>> = {
	table: tableBench,
	limits: limitsBench,
	overhead: overheadBench,
	recovery: {
		describe: 'Time from a fault to the callers’ next token',
		run: runRecoveryBench,
	},
	throughput: {
		describe: 'Tokens a second at saturation against the bound of the engines',
		run: runThroughput,
	},
};

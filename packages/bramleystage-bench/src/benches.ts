/** The benches by name. Each resolves with the figures of its last line. */
import {tableBench} from './table-bench.js';

/** Flags of a bench, as text; each bench reads those that it knows. */
export type BenchFlags = Readonly<Record<string, string>>;

export type Bench = {
	readonly describe: string;
	readonly run: (flags: BenchFlags) => Promise<object>;
};

export const benches: Readonly<Record<string, Bench>> = {
	table: tableBench,
};

/** Benches: each prints one JSON object on its last line. */
export {type Bench, benches, type BenchFlags} from './benches.js';
export {LimitAudit} from './limit-audit.js';
export {LimitWorld, type Observer, type WorldEntry} from './limit-world.js';
export {
	limitsBench,
	measureControl,
	runFaults,
	measureOneEntry,
} from './limits-bench.js';
export {VirtualTime} from './virtual-time.js';

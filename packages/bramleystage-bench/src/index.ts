/** Benches: each prints one JSON object on its last line. */
export {type Bench, benches, type BenchFlags} from './benches.js';

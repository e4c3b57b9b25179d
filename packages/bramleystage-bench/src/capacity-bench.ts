/**
 * `bench capacity`: how state, messages and processor time grow, each as a line
 * through three sizes. docs/CAPACITY.md is computed from its figures.
 */
import type {Bench} from './benches.js';
import {measureState} from './capacity-state.js';
import {
	measureControlTraffic,
	measureMeterAccuracy,
} from './capacity-traffic.js';
import {measureFrames, measureWork} from './capacity-work.js';
import {measureControl} from './limits-bench.js';

export const capacityBench: Bench = {
	describe: 'Slopes of state, messages and processor time',
	async run() {
		return {
			state_bytes: measureState(),
			frames: measureFrames(),
			work_us: measureWork(),
			control_bytes_per_second: await measureControlTraffic(),
			meter_to_socket: await measureMeterAccuracy(),
			permit_bytes_per_second_at_400: measureControl(400, 24_000, 2700),
		};
	},
};

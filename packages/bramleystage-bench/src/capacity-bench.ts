/**
 * `bench capacity`: measures how state, control traffic and processor time grow
 * with the size of the deployment. Each is measured at three sizes and fitted
 * with a straight line. docs/CAPACITY.md is computed from the results.
 */
import type {Bench} from './benches.js';
import {measureState} from './capacity-state.js';
import {
	measureControlTraffic,
	measureMeterAccuracy,
} from './capacity-traffic.js';
import {measureFrames, measureWork} from './capacity-work.js';
import {measurePermitTraffic} from './limits-bench.js';

export const capacityBench: Bench = {
	describe: 'Slopes of state, messages and processor time',
	async run() {
		return {
			state_bytes: measureState(),
			frames: measureFrames(),
			work_us: measureWork(),
			control_bytes_per_second: await measureControlTraffic(),
			meter_to_socket: await measureMeterAccuracy(),
			permit_bytes_per_second_at_400: measurePermitTraffic(400, 24_000, 2700),
		};
	},
};

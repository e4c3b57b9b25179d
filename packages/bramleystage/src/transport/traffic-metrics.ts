/**
 * Prometheus counters of the traffic that a process sends on its sessions, by
 * kind: control or data.
 */
import {Counter, type Registry} from 'prom-client';
import type {TrafficCount, TrafficMeter} from './traffic-meter.js';

/**
 * Registers the counters of a meter; they take the meter's values when the
 * metrics are collected.
 */
export function registerTrafficCounters(
	registry: Registry,
	meter: TrafficMeter,
): void {
	const registerCounter = (
		name: string,
		help: string,
		selectValue: (count: TrafficCount) => number,
	) => {
		const counter: Counter = new Counter({
			name: `bramleystage_session_sent_${name}_total`,
			help,
			labelNames: ['kind'],
			registers: [registry],
			collect() {
				counter.reset();
				counter.inc({kind: 'control'}, selectValue(meter.control));
				counter.inc({kind: 'data'}, selectValue(meter.data));
			},
		});
	};

	registerCounter('bytes', 'Bytes sent on sessions', ({bytes}) => bytes);
	registerCounter('frames', 'Frames sent on sessions', ({frames}) => frames);
}

/** Counters of a process's session traffic, control apart from data. */
import {Counter, type Registry} from 'prom-client';
import type {TrafficCount, TrafficMeter} from './traffic-meter.js';

/** Registers the counters of a meter; they are read when the metrics are. */
export function registerTrafficCounters(
	registry: Registry,
	meter: TrafficMeter,
): void {
	const register = (
		name: string,
		help: string,
		select: (count: TrafficCount) => number,
	) => {
		const counter: Counter = new Counter({
			name: `bramleystage_session_sent_${name}_total`,
			help,
			labelNames: ['kind'],
			registers: [registry],
			collect() {
				counter.reset();
				counter.inc({kind: 'control'}, select(meter.control));
				counter.inc({kind: 'data'}, select(meter.data));
			},
		});
	};

	register('bytes', 'Bytes sent on sessions', ({bytes}) => bytes);
	register('frames', 'Frames sent on sessions', ({frames}) => frames);
}

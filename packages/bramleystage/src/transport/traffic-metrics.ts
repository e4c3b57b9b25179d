/** Counters of a process's session traffic, control apart from data. */
import {Counter, type Registry} from 'prom-client';
import type {TrafficCount, TrafficMeter} from './traffic-meter.js';

/** Registers the counters of a meter; they are read when the metrics are. */
export function registerTrafficCounters(
	registry: Registry,
	meter: TrafficMeter,
): void {
	registerCounter(
		registry,
		'bramleystage_session_sent_bytes_total',
		'Bytes sent on sessions, by control and data',
		meter,
		({bytes}) => bytes,
	);
	registerCounter(
		registry,
		'bramleystage_session_sent_frames_total',
		'Frames sent on sessions, by control and data',
		meter,
		({frames}) => frames,
	);
}

function registerCounter(
	registry: Registry,
	name: string,
	help: string,
	meter: TrafficMeter,
	select: (count: TrafficCount) => number,
): void {
	const counter: Counter = new Counter({
		name,
		help,
		labelNames: ['kind'],
		registers: [registry],
		collect() {
			counter.reset();
			counter.inc({kind: 'control'}, select(meter.control));
			counter.inc({kind: 'data'}, select(meter.data));
		},
	});
}

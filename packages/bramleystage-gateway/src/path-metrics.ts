/** Metrics of the choice of paths by load, and of waits at crowded first stages. */
import {Counter, Gauge, type Registry} from 'prom-client';
import type {PathChoice} from './path-choice.js';
import type {StreamMonitor} from './stream-monitor.js';

/** Registers the metrics, which are read whenever they are collected. */
export function registerPathMetrics(
	registry: Registry,
	{counts}: Pick<PathChoice, 'counts'>,
	monitor: Pick<StreamMonitor, 'explainedCount' | 'inspectionCount'>,
): void {
	const registerCounter = (name: string, help: string, read: () => number) => {
		const counter: Counter = new Counter({
			name: `bramleystage_gateway_${name}_total`,
			help,
			registers: [registry],
			collect() {
				counter.reset();
				counter.inc(read());
			},
		});
	};

	registerCounter(
		'paths_by_load',
		'Paths chosen by the measured or reported load of first stages',
		() => counts.byLoad,
	);
	registerCounter(
		'paths_without_slot',
		'Paths chosen by load when no first stage had a free slot',
		() => counts.withoutSlot,
	);
	registerCounter(
		'engine_inspections',
		'Reports of engines read because of silent paths',
		() => monitor.inspectionCount,
	);
	registerCounter(
		'explained_waits',
		'Checks of paths without events whose first stage is crowded',
		() => monitor.explainedCount,
	);
	const spread: Gauge = new Gauge({
		name: 'bramleystage_gateway_first_stage_load_spread',
		help: 'Largest estimated load of a first stage over the mean, at the last choice',
		registers: [registry],
		collect() {
			spread.set(counts.spread);
		},
	});
}

/** Metrics of an agent. */
import type {LoadReport} from 'bramleystage';
import {Gauge, Registry} from 'prom-client';

/** Creates the registry; each gauge reads its value when the metrics are scraped. */
export function createMetrics(
	describeLoad: () => LoadReport,
	countSessions: () => number,
	readTableOffset: () => number,
): Registry {
	const registry = new Registry();
	const registers = [registry];
	const gauges: ReadonlyArray<[string, string, () => number]> = [
		['queued', 'Steps and calls that wait', () => describeLoad().queued],
		['running', 'Steps and calls that run', () => describeLoad().running],
		['entry_sessions', 'Live sessions of entries', countSessions],
		['table_offset', 'Next offset of the table', readTableOffset],
	];
	for (const [name, help, read] of gauges) {
		const gauge: Gauge = new Gauge({
			name: `bramleystage_agent_${name}`,
			help,
			registers,
			collect() {
				gauge.set(read());
			},
		});
	}

	return registry;
}

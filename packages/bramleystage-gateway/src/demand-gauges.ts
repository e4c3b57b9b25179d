/** Gauges of the load that this gateway carries and that all gateways carry, by service. */
import type {FleetLoad, ServiceLoad} from 'bramleystage';
import {Gauge, type Registry} from 'prom-client';
import type {DemandWatch} from './demand-watch.js';

const msPerSecond = 1000;

/** Registers the gauges; they are read whenever the metrics are collected. */
export function registerDemandGauges(
	registry: Registry,
	watch: Pick<DemandWatch, 'listServices' | 'readFleetLoad'>,
	readClock: () => number,
): void {
	const registerGauge = (
		{name, help, labels}: {name: string; help: string; labels: string[]},
		record: (gauge: Gauge, service: string, load: FleetLoad) => void,
	) => {
		const gauge: Gauge = new Gauge({
			name: `bramleystage_gateway_demand_${name}`,
			help,
			labelNames: ['service', ...labels],
			registers: [registry],
			collect() {
				const now = readClock();
				gauge.reset();
				for (const service of watch.listServices(now)) {
					record(gauge, service, watch.readFleetLoad(service, now));
				}
			},
		});
	};

	const registerScoped = (
		name: string,
		help: string,
		read: (load: ServiceLoad) => number,
	) => {
		registerGauge({name, help, labels: ['scope']}, (gauge, service, load) => {
			gauge.set({service, scope: 'own'}, read(load.own));
			gauge.set({service, scope: 'fleet'}, read(load.fleet));
		});
	};

	registerScoped(
		'running',
		'Requests that have begun and not ended, of this gateway (own) and of all (fleet)',
		({running}) => running,
	);
	registerScoped(
		'tokens',
		'Prompt tokens and expected answer tokens of these requests',
		({tokens}) => tokens,
	);
	registerGauge(
		{
			name: 'arrivals_per_second',
			help: 'Requests that arrive, by priority, at this gateway (own) and at all (fleet)',
			labels: ['scope', 'priority'],
		},
		(gauge, service, load) => {
			for (const scope of ['own', 'fleet'] as const) {
				for (const {priority, arrivals} of load[scope].rates) {
					gauge.set({service, scope, priority}, arrivals);
				}
			}
		},
	);
	registerGauge(
		{
			name: 'measured',
			help: 'Whether the load of all gateways is measured (1) or estimated from that of a few (0)',
			labels: [],
		},
		(gauge, service, {isMeasured}) => {
			gauge.set({service}, isMeasured ? 1 : 0);
		},
	);
	registerGauge(
		{
			name: 'age_seconds',
			help: 'Age of the oldest part of the load of all gateways',
			labels: [],
		},
		(gauge, service, {ageMs}) => {
			gauge.set({service}, ageMs / msPerSecond);
		},
	);
}

/**
 * Gauges of the retry budget: what this gateway's share of it rests on, and how much of it
 * each service has used.
 */
import type {ShareBasis} from 'bramleystage';
import {Gauge, type Registry} from 'prom-client';
import type {ServiceRepeats} from './retry-budget.js';

export type RetryGaugeOptions = {
	readonly registry: Registry;
	readonly describeShare: (now: number) => ShareBasis;
	readonly describeRepeats: (now: number) => readonly ServiceRepeats[];
	readonly readClock: () => number;
};

export function registerRetryGauges({
	registry,
	describeShare,
	describeRepeats,
	readClock,
}: RetryGaugeOptions): void {
	const registerGauge = (
		{name, help, labels}: {name: string; help: string; labels: string[]},
		record: (gauge: Gauge, now: number) => void,
	) => {
		const gauge: Gauge = new Gauge({
			name: `bramleystage_gateway_retry_${name}`,
			help,
			labelNames: labels,
			registers: [registry],
			collect() {
				gauge.reset();
				record(gauge, readClock());
			},
		});
	};

	registerGauge(
		{
			name: 'share',
			help: "This gateway's share of the slack of the retry budget, 0 to 1, by what it lacks",
			labels: ['lack'],
		},
		(gauge, now) => {
			const {share, lack} = describeShare(now);
			gauge.set({lack}, share);
		},
	);
	registerGauge(
		{
			name: 'gateways',
			help: 'Number of gateways among which the slack of the retry budget is divided',
			labels: [],
		},
		(gauge, now) => {
			gauge.set(describeShare(now).gateways);
		},
	);
	registerGauge(
		{
			name: 'repeats',
			help: 'Repeats of this gateway that count in the window of the retry budget',
			labels: ['service'],
		},
		(gauge, now) => {
			for (const {service, repeats} of describeRepeats(now)) {
				gauge.set({service}, repeats);
			}
		},
	);
	registerGauge(
		{
			name: 'allowed',
			help: 'Repeats that the retry budget allows this gateway in the window',
			labels: ['service'],
		},
		(gauge, now) => {
			for (const {service, allowed} of describeRepeats(now)) {
				gauge.set({service}, allowed);
			}
		},
	);
}

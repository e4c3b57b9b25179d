/** Log lines and counters that show who is admitted and who is refused while a service is short. */
import type {Logger} from 'bramleystage';
import {Counter, type Registry} from 'prom-client';
import type {LoadSheddingOptions} from './load-shedding.js';

/** Creates the records of shedding. */
export function createSheddingRecorder(
	logger: Logger,
	registry: Registry,
): Pick<LoadSheddingOptions, 'recordDecision' | 'recordShedding'> {
	const decisions = new Counter({
		name: 'bramleystage_gateway_shortage_requests_total',
		help: 'Requests that arrived while their model service was short, by priority and whether they were admitted',
		labelNames: ['priority', 'result'],
		registers: [registry],
	});
	return {
		recordDecision(priority, isAdmitted) {
			const result = isAdmitted ? 'admitted' : 'refused';
			decisions.inc({priority: String(priority), result});
		},
		recordShedding(state) {
			const shares = state.shares.map(
				({priority, share}) => `${priority}:${share.toFixed(2)}`,
			);
			logger.warn(state.isShort ? 'service.short' : 'service.sufficient', {
				service: state.service,
				shares: shares.join(',') || undefined,
				capacity: Math.round(state.capacity),
				in_flight: Math.round(state.running),
				arrivals: Math.round(state.arrivals),
				admission_rate: Math.round(state.admissionRate),
				refused: state.refused,
				measured: state.isMeasured,
				age_ms: Math.round(state.ageMs),
			});
		},
	};
}

/**
 * Records how each version of the configuration came into force: a log line and a
 * histogram tell from where it came, how old the gateway's knowledge was before, which
 * calls failed meanwhile, and how long it took from the first sign of the version.
 */
import type {Logger, RoutingConfiguration} from 'bramleystage';
import {Gauge, Histogram, type Registry} from 'prom-client';

/** Where a version came from: a long poll, a load of the newest version, or a peer. */
export type ConfigurationSource = 'poll' | 'load' | 'peer';

const secondMs = 1000;

export class ConfigurationRecord {
	readonly #delays: Histogram;
	readonly #version: Gauge;
	/** First sign of each version that is not in force yet; steady-clock times in milliseconds. */
	readonly #signs = new Map<number, number>();
	#failedCalls = 0;

	constructor(
		private readonly registry: Registry,
		private readonly logger: Logger,
	) {
		this.#delays = new Histogram({
			name: 'bramleystage_gateway_configuration_delay_seconds',
			help: 'Time from the first sign of a version to its being in force',
			labelNames: ['source'],
			buckets: [0.01, 0.03, 0.1, 0.3, 0.6, 1, 1.5, 2, 3, 5],
			registers: [registry],
		});
		this.#version = new Gauge({
			name: 'bramleystage_gateway_configuration_version',
			help: 'Version of the configuration in force',
			registers: [registry],
		});
	}

	/** Registers the age of what is known as a gauge; `readAgeMs` is called at each collection. */
	registerAge(readAgeMs: () => number): void {
		const gauge: Gauge = new Gauge({
			name: 'bramleystage_gateway_configuration_age_seconds',
			help: 'Time since no newer version was there',
			registers: [this.registry],
			collect() {
				gauge.set(readAgeMs() / secondMs);
			},
		});
	}

	/** Records that a version newer than the one in force was announced, or that bytes of one arrived. */
	recordSign(version: number, now: number): void {
		if (!this.#signs.has(version)) {
			this.#signs.set(version, now);
		}
	}

	/** Records that a call of the store failed. */
	recordFailure(): void {
		this.#failedCalls++;
	}

	/** Records a version that is in force from now on. */
	recordApplied(
		{version, routes}: RoutingConfiguration,
		{
			source,
			previous,
			readAt,
		}: {
			readonly source: ConfigurationSource;
			readonly previous: number;
			/** Steady-clock time as of which there was no newer version, in milliseconds. */
			readonly readAt: number;
		},
		now: number,
	): void {
		const delayMs = now - (this.#signs.get(version) ?? now);
		this.#delays.observe({source}, delayMs / secondMs);
		this.#version.set(version);
		this.logger.info('configuration.applied', {
			version,
			previous,
			routes: routes.length,
			source,
			delay_ms: Math.round(delayMs),
			known_age_ms: Number.isFinite(readAt)
				? Math.round(now - readAt)
				: undefined,
			failed_calls: this.#failedCalls,
		});
		this.#failedCalls = 0;
		for (const signed of this.#signs.keys()) {
			if (signed <= version) {
				this.#signs.delete(signed);
			}
		}
	}
}

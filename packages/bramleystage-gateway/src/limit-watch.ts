/**
 * Watches the limits that backend servers name, and counts what this gateway sends to
 * servers that have one.
 */
import {
	type BackendId,
	createServerLimits,
	findServerLimit,
	type InstanceKey,
	type LifeCycle,
	type Logger,
	parseServerLimit,
	recordLimitAnswer,
	removeLimits,
	type ServerLimits,
	toInstanceKey,
} from 'bramleystage';
import {Counter, Gauge, type Registry} from 'prom-client';
import type {Fleet} from './fleet.js';

/** How often the use of limited servers is logged, in milliseconds. */
const logIntervalMs = 1000;

/** What is sent to a server. */
export type SendKind = 'request' | 'report' | 'order';

/** What an answer says of its server's limit. */
export type NamedLimit = {
	/** As sent; undefined if the answer names no limit. */
	readonly text: string | undefined;
	/** Steady-clock time at which its request was sent, in milliseconds. */
	readonly sentAt: number;
};

export type LimitWatchOptions = {
	readonly fleet: Pick<Fleet, 'snapshots'>;
	readonly registry: Registry;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

export class LimitWatch {
	#limits: ServerLimits = createServerLimits();
	/** Sends since the last log line, by server and kind. */
	readonly #sends = new Map<BackendId, Map<SendKind, number>>();
	readonly #sendCounter: Counter;

	constructor(private readonly options: LimitWatchOptions) {
		const {registry, lifeCycle, fleet} = options;
		this.#sendCounter = new Counter({
			name: 'bramleystage_gateway_limited_sends_total',
			help: 'Sends to servers that name a limit, by kind',
			labelNames: ['kind'],
			registers: [registry],
		});
		const gauge: Gauge = new Gauge({
			name: 'bramleystage_gateway_server_limit',
			help: 'Requests a second that a server takes from all gateways together',
			labelNames: ['backend'],
			registers: [registry],
			collect: () => {
				gauge.reset();
				for (const [backend, {perSecond}] of this.#limits) {
					if (perSecond !== undefined) {
						gauge.set({backend}, perSecond);
					}
				}
			},
		});
		lifeCycle.registerInterval(logIntervalMs, () => {
			this.#logSends();
		});
		const subscription = fleet.snapshots.subscribe(({backends}) => {
			const listed = new Set<InstanceKey>(
				[...backends].map(([id, {bornAt}]) => buildInstanceKey(id, bornAt)),
			);
			this.#limits = removeLimits(this.#limits, (instance) =>
				listed.has(instance),
			);
		});
		lifeCycle.register(() => {
			subscription.unsubscribe();
		});
	}

	/** Finds the limit of a server, in requests a second; undefined if it has none. */
	findLimit(id: BackendId): number | undefined {
		const instance = this.#limits.size > 0 ? this.#findInstance(id) : undefined;
		return instance && findServerLimit(this.#limits, instance);
	}

	/** Records what an answer of a server says of its limit. */
	recordAnswer(id: BackendId, {text, sentAt}: NamedLimit): void {
		if (text === undefined && this.#limits.size === 0) {
			return;
		}

		const instance = this.#findInstance(id);
		const named = text === undefined ? undefined : parseServerLimit(text);
		if (text !== undefined && named === undefined) {
			this.options.logger.warn('backend.limitIgnored', {
				backend: id,
				named: text,
			});
			return;
		}

		if (instance) {
			const perSecond = Number.isFinite(named) ? named : undefined;
			this.#replace(
				recordLimitAnswer(
					this.#limits,
					instance,
					{perSecond, sentAt},
					this.options.readClock(),
				),
			);
		}
	}

	/** Counts something that is sent to a server. */
	recordSend(id: BackendId, kind: SendKind): void {
		if (this.findLimit(id) === undefined) {
			return;
		}

		this.#sendCounter.inc({kind});
		const counts = this.#sends.get(id) ?? new Map<SendKind, number>();
		counts.set(kind, (counts.get(kind) ?? 0) + 1);
		this.#sends.set(id, counts);
	}

	#findInstance(id: BackendId): InstanceKey | undefined {
		const listed = this.options.fleet.snapshots.value.backends.get(id);
		return listed && buildInstanceKey(id, listed.bornAt);
	}

	#replace(next: ServerLimits): void {
		const previous = this.#limits;
		this.#limits = next;
		for (const [instance, {perSecond, revision}] of next) {
			const known = previous.get(instance);
			if (known?.revision !== revision || known.perSecond !== perSecond) {
				this.options.logger.info('backend.limit', {
					backend: instance,
					per_second: perSecond ?? 'none',
					previous: known?.perSecond,
					revision,
				});
			}
		}
	}

	#logSends(): void {
		for (const [backend, counts] of this.#sends) {
			this.options.logger.info('backend.limitUse', {
				backend,
				per_second: this.findLimit(backend),
				requests: counts.get('request'),
				reports: counts.get('report'),
				orders: counts.get('order'),
			});
		}

		this.#sends.clear();
	}
}

const buildInstanceKey = (id: BackendId, bornAt: number): InstanceKey =>
	toInstanceKey(`${id}@${bornAt}`);

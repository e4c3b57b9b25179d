/**
 * Watches the limits that backend servers name, and counts what this gateway sends to
 * servers that have one.
 */
import {
	applyLimitNews,
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
import {Subject} from 'rxjs';
import type {Fleet} from './fleet.js';
import type {LimitNews} from './permit-messages.js';

/** How often the use of limited servers is logged, in milliseconds. */
const logIntervalMs = 1000;
/** Time for which the limit of a server that isn't listed is kept, in milliseconds: news may come before the list. */
const unlistedLimitMs = 30_000;

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
	/** Fires when there are news for peers. */
	readonly news = new Subject<void>();
	#limits: ServerLimits = createServerLimits();
	/** Number of changes so far. */
	#changeCount = 0;
	/** Number of the last change of each limit. */
	readonly #changes = new Map<InstanceKey, number>();
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
			const keptSince = options.readClock() - unlistedLimitMs;
			this.#limits = removeLimits(
				this.#limits,
				(instance, {seenAt}) => listed.has(instance) || seenAt > keptSince,
			);
			for (const instance of this.#changes.keys()) {
				if (!this.#limits.has(instance)) {
					this.#changes.delete(instance);
				}
			}
		});
		lifeCycle.register(() => {
			subscription.unsubscribe();
		});
	}

	/** Finds the limit of a server, in requests a second; undefined if it has none. */
	findLimit(id: BackendId): number | undefined {
		const instance = this.#limits.size > 0 ? this.findInstance(id) : undefined;
		return instance && this.findInstanceLimit(instance);
	}

	/** Finds the limit of an instance, in requests a second; undefined if it has none. */
	findInstanceLimit(instance: InstanceKey): number | undefined {
		return findServerLimit(this.#limits, instance);
	}

	/** Finds the current instance of a listed server. */
	findInstance(id: BackendId): InstanceKey | undefined {
		const listed = this.options.fleet.snapshots.value.backends.get(id);
		return listed && buildInstanceKey(id, listed.bornAt);
	}

	/** Describes what is known of an instance's limit, for other gateways. */
	describeLimit(instance: InstanceKey): LimitNews {
		const {perSecond, revision = 0} = this.#limits.get(instance) ?? {};
		return {instance, perSecond: perSecond ?? null, revision};
	}

	/** Builds the limits that have changed after a number of changes; undefined if none has. */
	buildNews(since: number): {
		readonly news?: readonly LimitNews[];
		readonly changeCount: number;
	} {
		const changeCount = this.#changeCount;
		if (changeCount === since) {
			return {changeCount};
		}

		const changed = [...this.#limits.keys()].filter(
			(instance) => (this.#changes.get(instance) ?? 0) > since,
		);
		return {
			changeCount,
			news: changed.map((instance) => this.describeLimit(instance)),
		};
	}

	/** Merges what a peer knows. */
	acceptNews(news: readonly LimitNews[]): void {
		const now = this.options.readClock();
		let next = this.#limits;
		for (const {instance, perSecond, revision} of news) {
			next = applyLimitNews(
				next,
				toInstanceKey(instance),
				{perSecond: perSecond ?? undefined, revision},
				now,
			);
		}

		this.#replace(next);
	}

	/** Records what an answer of a server says of its limit. */
	recordAnswer(id: BackendId, {text, sentAt}: NamedLimit): void {
		if (text === undefined && this.#limits.size === 0) {
			return;
		}

		const instance = this.findInstance(id);
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

	#replace(next: ServerLimits): void {
		const previous = this.#limits;
		if (next === previous) {
			return;
		}

		let hasChanged = false;
		this.#limits = next;
		for (const [instance, {perSecond, revision}] of next) {
			const known = previous.get(instance);
			if (known?.revision !== revision || known.perSecond !== perSecond) {
				hasChanged = true;
				this.#changes.set(instance, this.#changeCount + 1);
				this.options.logger.info('backend.limit', {
					backend: instance,
					per_second: perSecond ?? 'none',
					previous: known?.perSecond,
					revision,
				});
			}
		}

		if (hasChanged) {
			this.#changeCount++;
			this.news.next();
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

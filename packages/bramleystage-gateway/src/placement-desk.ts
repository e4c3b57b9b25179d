/**
 * Carries out the placement of layers while this gateway gives orders. Before
 * each order the engine's own report is read: the order names the count of
 * orders in it, so one that is carried out late can't undo a newer one.
 */
import {
	type Backend,
	type BackendId,
	type GatewayService,
	type LayerOrder,
	type LayerRange,
	type LifeCycle,
	listBackends,
	type Logger,
	planOrders,
} from 'bramleystage';
import type {Fleet} from './fleet.js';
import type {Group} from './group.js';
import type {EnginePort} from './platform-port.js';

/** How often placement is decided, in milliseconds. */
const decideMs = 250;
/** The list must be unchanged for so long before the first placement, in milliseconds. */
const settleMs = 1500;
/** Longest wait for the list to settle at the first start, in milliseconds. */
const maxSettleMs = 6000;
/** Longest wait for an answer of an engine, in milliseconds. */
const answerMs = 500;
/** An order counts as under way for the load time and this slack, in milliseconds. */
const orderSlackMs = 1500;

/** Time between two reports of an engine that carries out an order, in milliseconds. */
const confirmMs = 400;

const isSameRange = (a: LayerRange | undefined, b: LayerRange) =>
	a?.from === b.from && a.to === b.to;

type Pending = {readonly layers: LayerRange; readonly until: number};

export type PlacementOptions = {
	readonly fleet: Fleet;
	readonly group: Group;
	readonly engines: EnginePort;
	readonly listServices: () => readonly GatewayService[];
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

/** Starts deciding; the life cycle ends it. */
export function startPlacement(options: PlacementOptions): void {
	const desk = new PlacementDesk(options);
	options.lifeCycle.registerInterval(decideMs, () => {
		desk.decide(options.readClock());
	});
}

class PlacementDesk {
	readonly #pending = new Map<BackendId, Pending>();
	#listChangedAt: number;
	#listedAt: number | undefined;

	constructor(private readonly options: PlacementOptions) {
		this.#listChangedAt = options.readClock();
		const ids = new Set<string>();
		const subscription = options.fleet.snapshots.subscribe(({backends}) => {
			for (const id of backends.keys()) {
				if (!ids.has(id)) {
					ids.add(id);
					this.#listChangedAt = options.readClock();
					this.#listedAt ??= this.#listChangedAt;
				}
			}
		});
		options.lifeCycle.register(() => {
			subscription.unsubscribe();
		});
	}

	/** Gives the orders that are due. */
	decide(now: number): void {
		const {group, fleet, listServices} = this.options;
		if (!group.isLeader || this.#listedAt === undefined) {
			return;
		}

		const isSettled =
			now - this.#listChangedAt > settleMs ||
			now - this.#listedAt > maxSettleMs;
		for (const service of listServices()) {
			const backends = listBackends(fleet.snapshots.value, service.name);
			const isPlaced = backends.some(({layers}) => layers !== undefined);
			if (service.pipeline && (isPlaced || isSettled)) {
				this.#decideService(service, backends, now);
			}
		}
	}

	#decideService(
		service: GatewayService,
		backends: readonly Backend[],
		now: number,
	): void {
		const {pipeline} = service;
		if (!pipeline) {
			return;
		}

		for (const backend of backends) {
			this.#settlePending(backend, now);
		}

		const orders = planOrders(
			pipeline,
			backends.map((backend) => ({
				id: backend.id,
				dataCentre: backend.dataCentre,
				kind: backend.kind ?? '',
				layers: backend.layers,
				ordered: this.#pending.get(backend.id)?.layers,
				isUsable: !backend.isDraining && !this.options.fleet.isLost(backend.id),
				isSuspect: this.options.fleet.isUnreachable(backend.id),
			})),
		);
		const byId = new Map(backends.map((backend) => [backend.id, backend]));
		for (const order of orders) {
			const backend = byId.get(order.id);
			if (backend) {
				const load =
					(pipeline.loadMs * (order.layers.to - order.layers.from)) /
					pipeline.layers;
				this.#pending.set(order.id, {
					layers: order.layers,
					until: now + load + orderSlackMs,
				});
				void this.#send(backend, order);
			}
		}
	}

	/** Forgets an order that is in force, or that took too long. */
	#settlePending({id, layers}: Backend, now: number): void {
		const pending = this.#pending.get(id);
		if (
			pending &&
			(isSameRange(layers, pending.layers) || now > pending.until)
		) {
			this.#pending.delete(id);
		}
	}

	/**
	 * Reads the engine's report until the order is in force. The list says so
	 * too, but later, and not while the store is away.
	 */
	#confirm(id: BackendId, address: string): void {
		this.options.lifeCycle.registerTimeout(confirmMs, () => {
			void (async () => {
				const pending = this.#pending.get(id);
				if (!pending || this.options.readClock() > pending.until) {
					return;
				}

				const report = await this.options.engines.readReport(address, answerMs);
				const layers = report.isOk() ? report.value.layers : undefined;
				if (layers && isSameRange(layers, pending.layers)) {
					this.options.fleet.recordLayers(id, layers);
				} else {
					this.#confirm(id, address);
				}
			})();
		});
	}

	async #send(
		{id, address}: Backend,
		{layers, reason}: LayerOrder,
	): Promise<void> {
		const {engines, logger, group} = this.options;
		const report = await engines.readReport(address, answerMs);
		if (report.isErr()) {
			logger.warn('order.unsent', {backend: id, detail: report.error.detail});
			return;
		}

		if (report.value.isBusy || !group.isLeader) {
			return;
		}

		const outcome = await engines.orderLayers(address, {
			layers,
			expectedOrders: report.value.orderCount,
			fence: group.generation,
			timeoutMs: answerMs,
		});
		if (outcome.isOk() && outcome.value === 'accepted') {
			this.#confirm(id, address);
		}

		logger.info('order.sent', {
			backend: id,
			address,
			layers: `${layers.from}-${layers.to}`,
			reason,
			expected_orders: report.value.orderCount,
			outcome: outcome.isOk() ? outcome.value : outcome.error.kind,
			detail: outcome.isErr() ? outcome.error.detail : undefined,
		});
	}
}

/**
 * Assigns model layers to engines while this gateway is the order leader. An
 * order tells an engine which layers to hold. Before each order the controller
 * reads the engine's report and puts its count of accepted orders into the new
 * order, so that an order that arrives late can't undo a newer one.
 */
import {
	type Backend,
	type BackendId,
	createOrderCrashes,
	type GatewayService,
	isOrderHeld,
	type LayerOrder,
	type LayerRange,
	type LifeCycle,
	listBackends,
	type Logger,
	type OrderCrashes,
	type OrderSize,
	type PlacementDemand,
	planLayerOrders,
	recordOrderCrash,
	recordOrderSuccess,
} from 'bramleystage';
import {describeEngine} from './engine-placement.js';
import type {Fleet} from './fleet.js';
import type {InstanceWatch} from './instance-watch.js';
import type {LimitWatch} from './limit-watch.js';
import type {Permits} from './permits.js';
import type {GatewayGroup} from './gateway-group.js';
import {engineTimeoutMs, readExpectedOrders} from './expected-orders.js';
import type {EnginePort} from './platform-port.js';

/** How often placement is decided, in milliseconds. */
const decisionIntervalMs = 250;
/** Time for which no new server may be listed before the first placement, in milliseconds. */
const listSettleMs = 1500;
/** Longest wait for the list to settle before the first placement, in milliseconds. */
const maxListSettleMs = 6000;
/** An order stays pending for the load time of its layers plus this slack, in milliseconds. */
const orderSlackMs = 1500;
/** Time until an engine that was sent no order is planned again, in milliseconds. */
const orderRetryMs = 750;

/** Time for which an order waits until an engine that names a limit takes it, in milliseconds. */
const maxOrderWaitMs = 1000;
/** How often the report of an engine with a pending order is polled, in milliseconds. */
const confirmIntervalMs = 400;

const isSameRange = (a: LayerRange | undefined, b: LayerRange) =>
	a?.from === b.from && a.to === b.to;

const describeSize = (
	{kind = ''}: Backend,
	{from, to}: LayerRange,
): OrderSize => ({
	kind,
	layers: to - from,
});

type PendingOrder = {readonly layers: LayerRange; readonly until: number};

export type PlacementOptions = {
	readonly fleet: Fleet;
	readonly group: GatewayGroup;
	readonly engines: Pick<EnginePort, 'orderLayers'>;
	readonly instances: Pick<InstanceWatch, 'readReport'>;
	readonly limits: Pick<LimitWatch, 'findLimit' | 'recordSend'>;
	readonly permits: Pick<Permits, 'tryAcquire'>;
	readonly listServices: () => readonly GatewayService[];
	/** Returns the demand on a service; undefined if it is not known. */
	readonly readDemand?: (
		service: GatewayService,
		now: number,
	) => PlacementDemand | undefined;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

/** Starts placement decisions; they run until the life cycle stops. */
export function startPlacement(options: PlacementOptions): void {
	const controller = new PlacementController(options);
	options.lifeCycle.registerInterval(decisionIntervalMs, () => {
		controller.decide(options.readClock());
	});
}

class PlacementController {
	readonly #pending = new Map<BackendId, PendingOrder>();
	#orderCrashes: OrderCrashes = createOrderCrashes();
	#listChangedAt: number;
	#firstListedAt: number | undefined;

	constructor(private readonly options: PlacementOptions) {
		this.#listChangedAt = options.readClock();
		const ids = new Set<string>();
		const subscription = options.fleet.snapshots.subscribe(({backends}) => {
			for (const id of backends.keys()) {
				if (!ids.has(id)) {
					ids.add(id);
					this.#listChangedAt = options.readClock();
					this.#firstListedAt ??= this.#listChangedAt;
				}
			}
		});
		options.lifeCycle.register(() => {
			subscription.unsubscribe();
		});
	}

	/** Sends the orders that are due. */
	decide(now: number): void {
		const {group, fleet, listServices} = this.options;
		if (!group.isLeader || this.#firstListedAt === undefined) {
			return;
		}

		const isSettled =
			now - this.#listChangedAt > listSettleMs ||
			now - this.#firstListedAt > maxListSettleMs;
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
			this.#clearPending(backend, now);
		}

		const orders = planLayerOrders(
			pipeline,
			backends.map((backend) =>
				describeEngine(
					backend,
					this.#pending.get(backend.id)?.layers,
					this.options,
				),
			),
			this.options.readDemand?.(service, now),
		);
		const byId = new Map(backends.map((backend) => [backend.id, backend]));
		for (const order of orders) {
			const backend = byId.get(order.id);
			const isHeld =
				backend &&
				isOrderHeld(
					this.#orderCrashes,
					describeSize(backend, order.layers),
					now,
				);
			if (backend && !isHeld) {
				const loadMs =
					(pipeline.loadMs * (order.layers.to - order.layers.from)) /
					pipeline.layers;
				this.#pending.set(order.id, {
					layers: order.layers,
					until: now + loadMs + orderSlackMs,
				});
				void this.#send(backend, order);
			}
		}
	}

	/** Drops a pending order that has taken effect or has timed out. */
	#clearPending({id, layers}: Backend, now: number): void {
		const pending = this.#pending.get(id);
		if (
			pending &&
			(isSameRange(layers, pending.layers) || now > pending.until)
		) {
			this.#pending.delete(id);
		}
	}

	/**
	 * Polls the engine's report until the order has taken effect. The list shows
	 * it too, but later, and not while the store is unreachable.
	 */
	#confirm(backend: Backend): void {
		const {id, address} = backend;
		this.options.lifeCycle.registerTimeout(confirmIntervalMs, () => {
			void (async () => {
				const pending = this.#pending.get(id);
				if (!pending || this.options.readClock() > pending.until) {
					return;
				}

				const {instances, fleet} = this.options;
				const report = await instances.readReport(
					{id, address},
					engineTimeoutMs,
				);
				const layers = report?.isOk() ? report.value.layers : undefined;
				const size = describeSize(backend, pending.layers);
				if (layers && isSameRange(layers, pending.layers)) {
					fleet.recordLayers(id, layers);
					this.#orderCrashes = recordOrderSuccess(this.#orderCrashes, size);
				} else if (report?.isErr() && report.error.kind === 'refused') {
					this.#recordOrderCrash(id, size);
				} else {
					this.#confirm(backend);
				}
			})();
		});
	}

	/** Records that an engine ended while it loaded the layers of an order. */
	#recordOrderCrash(id: BackendId, size: OrderSize): void {
		const {logger, readClock} = this.options;
		this.#pending.delete(id);
		const now = readClock();
		this.#orderCrashes = recordOrderCrash(this.#orderCrashes, size, now);
		logger.warn('order.crashed', {
			backend: id,
			...size,
			held: isOrderHeld(this.#orderCrashes, size, now),
		});
	}

	async #send(backend: Backend, order: LayerOrder): Promise<void> {
		const expectedOrders = await readExpectedOrders(backend, this.options);
		if (expectedOrders === undefined || !this.options.group.isLeader) {
			this.#shortenPending(backend.id);
			return;
		}

		const {engines, limits, permits, logger, group} = this.options;
		const {id, address} = backend;
		const {layers, reason} = order;
		if (!(await permits.tryAcquire(id, maxOrderWaitMs))) {
			this.#shortenPending(id);
			return;
		}

		limits.recordSend(id, 'order');
		const outcome = await engines.orderLayers(address, {
			backend: id,
			layers,
			expectedOrders,
			fence: group.fence,
			timeoutMs: engineTimeoutMs,
		});
		if (outcome.isOk() && outcome.value === 'accepted') {
			this.#confirm(backend);
		}

		logger.info('order.sent', {
			backend: id,
			address,
			layers: `${layers.from}-${layers.to}`,
			reason,
			expected_orders: expectedOrders,
			outcome: outcome.isOk() ? outcome.value : outcome.error.kind,
			detail: outcome.isErr() ? outcome.error.detail : undefined,
		});
	}

	/** Lets an engine that was sent no order be planned again soon. */
	#shortenPending(id: BackendId): void {
		const pending = this.#pending.get(id);
		if (pending) {
			const until = this.options.readClock() + orderRetryMs;
			this.#pending.set(id, {
				...pending,
				until: Math.min(until, pending.until),
			});
		}
	}
}

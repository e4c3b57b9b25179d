/** What the engine's stand-in holds, changed by orders with fencing numbers. */
import {err, ok, type Result} from 'neverthrow';
import type {Order, Step} from './engine-schema.js';

export type Holding = {
	readonly model: string;
	readonly version: string;
	readonly fromLayer: number;
	readonly toLayer: number;
	readonly role: string;
	readonly adapters: readonly string[];
};

export type OrderRefusal = {
	readonly error: string;
	readonly highestFencing: number;
};

/** Tells whether a step's layers are held. */
export const hasLayers = (
	{fromLayer, toLayer}: Holding,
	step: Pick<Step, 'fromLayer' | 'toLayer'>,
) => fromLayer <= step.fromLayer && step.toLayer <= toLayer;

export class HoldingDesk {
	#highestFencing = -1;

	constructor(
		private holding: Holding,
		/** False for an engine that obeys an order with any number. */
		private readonly checksFencing: boolean,
	) {}

	get current(): Holding {
		return this.holding;
	}

	/** Obeys an order, unless its fencing number is older than the highest one. */
	handle(order: Order): Result<Holding, OrderRefusal> {
		if (this.checksFencing && order.fencing < this.#highestFencing) {
			const highestFencing = this.#highestFencing;
			return err({error: 'old fencing number', highestFencing});
		}

		this.#highestFencing = Math.max(this.#highestFencing, order.fencing);
		this.holding = applyOrder(this.holding, order);
		return ok(this.holding);
	}
}

function applyOrder(holding: Holding, order: Order): Holding {
	if (order.order === 'unload') {
		return order.adapter === undefined
			? {...holding, toLayer: holding.fromLayer}
			: {
					...holding,
					adapters: holding.adapters.filter((name) => name !== order.adapter),
				};
	}

	return {
		model: order.model ?? holding.model,
		version: order.version ?? holding.version,
		fromLayer: order.fromLayer ?? holding.fromLayer,
		toLayer: order.toLayer ?? holding.toLayer,
		role: order.role ?? holding.role,
		adapters:
			order.adapter === undefined
				? holding.adapters
				: [...new Set([...holding.adapters, order.adapter])],
	};
}

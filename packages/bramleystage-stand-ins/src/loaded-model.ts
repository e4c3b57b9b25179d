/**
 * Model and layers that the engine stand-in holds. Orders, each with a fencing
 * token, load and unload layers and adapters or set the role.
 */
import {err, ok, type Result} from 'neverthrow';
import type {Order, Step} from './engine-schema.js';

export type LoadedModel = {
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

/** Tells whether the engine holds all layers of a step. */
export const hasLayers = (
	{fromLayer, toLayer}: LoadedModel,
	step: Pick<Step, 'fromLayer' | 'toLayer'>,
) => fromLayer <= step.fromLayer && step.toLayer <= toLayer;

export class LoadedModelManager {
	#highestFencing = -1;

	constructor(
		private loaded: LoadedModel,
		/** False for an engine that executes orders with any fencing token. */
		private readonly checksFencing: boolean,
	) {}

	get current(): LoadedModel {
		return this.loaded;
	}

	/**
	 * Executes an order; refuses it if its fencing token is lower than the highest
	 * one received and tokens are checked.
	 */
	apply(order: Order): Result<LoadedModel, OrderRefusal> {
		if (this.checksFencing && order.fencing < this.#highestFencing) {
			const highestFencing = this.#highestFencing;
			return err({error: 'old fencing number', highestFencing});
		}

		this.#highestFencing = Math.max(this.#highestFencing, order.fencing);
		this.loaded = applyOrder(this.loaded, order);
		return ok(this.loaded);
	}
}

function applyOrder(loaded: LoadedModel, order: Order): LoadedModel {
	if (order.order === 'unload') {
		return order.adapter === undefined
			? {...loaded, toLayer: loaded.fromLayer}
			: {
					...loaded,
					adapters: loaded.adapters.filter((name) => name !== order.adapter),
				};
	}

	return {
		model: order.model ?? loaded.model,
		version: order.version ?? loaded.version,
		fromLayer: order.fromLayer ?? loaded.fromLayer,
		toLayer: order.toLayer ?? loaded.toLayer,
		role: order.role ?? loaded.role,
		adapters:
			order.adapter === undefined
				? loaded.adapters
				: [...new Set([...loaded.adapters, order.adapter])],
	};
}

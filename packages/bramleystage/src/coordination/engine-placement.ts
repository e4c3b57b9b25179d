/** Engines as the placement of layers sees them, and the orders that change it. */
import type {BackendId, DataCentreId} from '../protocol/ids.js';
import type {LayerRange} from '../state/backends.js';

/** An engine with the layers that it holds and whether it can be used. */
export type EnginePlacement = {
	readonly id: BackendId;
	readonly dataCentre: DataCentreId;
	readonly kind: string;
	readonly layers?: LayerRange;
	/** Layers of a pending order; they count as held. */
	readonly pendingLayers?: LayerRange;
	/** Whether it is neither draining nor assumed to be dead. */
	readonly isUsable: boolean;
	/** Whether requests recently failed to reach it. */
	readonly isSuspect: boolean;
	/** Whether it names a limit, so that few requests can begin there. */
	readonly isLimited?: boolean;
};

/** Assigns a layer range to an engine. */
export type LayerOrder = {
	readonly id: BackendId;
	readonly layers: LayerRange;
	/** Why the order was planned; appears in the log. */
	readonly reason:
		'first' | 'gap' | 'neighbour' | 'front' | 'cache' | 'relief' | 'shrink';
};

/** Demand that a placement serves. */
export type PlacementDemand = {
	/** Requests of all gateways that engines work on. */
	readonly running: number;
	/** Prompt tokens and expected answer tokens of these requests. */
	readonly tokens: number;
	/** Engines that are to stay idle, to replace lost ones. */
	readonly reserve: number;
};

/** The layers that an engine holds, or will hold once its order has taken effect. */
export const resolveRange = ({pendingLayers, layers}: EnginePlacement) =>
	pendingLayers ?? layers;

/** Whether requests can begin at an engine, or could if it held the first layer. */
export const isSoundEngine = ({
	isUsable,
	isSuspect,
	isLimited,
}: EnginePlacement): boolean => isUsable && !isSuspect && !isLimited;

/** Whether an engine is idle and can be given layers. */
export const isFreeEngine = (engine: EnginePlacement): boolean =>
	isSoundEngine(engine) && resolveRange(engine) === undefined;

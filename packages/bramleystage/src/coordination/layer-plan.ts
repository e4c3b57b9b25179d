/**
 * Places the layers of a model on engines with different amounts of memory.
 * Engines form groups, if possible within one data centre. Each group holds one
 * replica of the model: every layer once.
 *
 * An engine's token capacity is the number of tokens whose KV cache fits beside
 * its layers. The engine with the least token capacity limits a pipeline, so
 * each group keeps a share of the best token capacity that it could reach.
 * Within that bound its fastest engines get the layers. The other engines stay
 * idle and replace an engine that is lost.
 */
import type {BackendId, DataCentreId} from '../protocol/ids.js';
import type {LayerRange} from '../state/backends.js';
import type {PipelineModel} from '../state/routes.js';
import {pickLowest} from '../state/pick-lowest.js';
import {splitBy} from '../state/split-by.js';

/** An engine that layers can be placed on. */
export type PlaceableEngine = {
	readonly id: BackendId;
	readonly dataCentre: DataCentreId;
	readonly kind: string;
};

/** The layers that each engine is to hold. Idle engines are absent. */
export type LayerPlan = ReadonlyMap<BackendId, LayerRange>;

/** Maximum number of stages of a pipeline; engines accept no longer path. */
export const maxPipelineStages = 32;
/** Engines per group above which another group is formed, if memory allows. */
const preferredStages = 16;
/** Minimum share of a group's memory that is left for the KV cache. */
const minCacheShare = 0.25;

/** Computes the maximum number of layers that fit into an engine's memory, with nothing left for the KV cache. */
export function computeMaxLayers(model: PipelineModel, kind: string): number {
	const megabytes = model.kinds.get(kind)?.megabytes ?? 0;
	return Math.min(model.layers, Math.floor(megabytes / model.layerMegabytes));
}

/** Computes the tokens whose KV cache fits beside the given number of layers; infinite for none. */
export function computeTokenCapacity(
	model: PipelineModel,
	kind: string,
	layers: number,
): number {
	const megabytes = model.kinds.get(kind)?.megabytes ?? 0;
	if (layers === 0) {
		return Number.POSITIVE_INFINITY;
	}

	const cacheBytes = (megabytes - layers * model.layerMegabytes) * 1e6;
	return (cacheBytes * model.layers) / (model.kvTokenBytes * layers);
}

/**
 * Chooses how many layers each engine holds so that the least token capacity is
 * as large as possible. `replicas` is how often the engines hold each layer.
 * Returns undefined if the layers don't fit.
 */
export function splitLayersByCapacity(
	model: PipelineModel,
	kinds: readonly string[],
	replicas = 1,
): number[] | undefined {
	const counts = kinds.map(() => 0);
	for (let placed = 0; placed < replicas * model.layers; placed++) {
		let best = -1;
		let bestCapacity = 0;
		for (const [index, kind] of kinds.entries()) {
			const capacity = computeTokenCapacity(
				model,
				kind,
				(counts[index] ?? 0) + 1,
			);
			if (capacity > bestCapacity) {
				best = index;
				bestCapacity = capacity;
			}
		}

		if (best === -1) {
			return undefined;
		}

		counts[best] = (counts[best] ?? 0) + 1;
	}

	return counts;
}

/**
 * Share of a group's best token capacity that is kept. The rest is given up so
 * that the fastest engines hold more layers and others stay idle as a reserve.
 */
const targetCapacityShare = 0.5;
/** Delay that one more stage adds to a step, in milliseconds. */
const stageOverheadMs = 0.2;

/**
 * Computes the token capacity that every engine is to have; undefined if the
 * engines can't hold all layers.
 */
export function computeTargetCapacity(
	model: PipelineModel,
	kinds: readonly string[],
	replicas = 1,
): number | undefined {
	const counts = splitLayersByCapacity(model, kinds, replicas);
	if (!counts) {
		return undefined;
	}

	const capacities = kinds.map((kind, index) =>
		computeTokenCapacity(model, kind, counts[index] ?? 0),
	);
	return targetCapacityShare * Math.min(...capacities);
}

/** Computes the maximum number of layers with which an engine keeps the given token capacity. */
export function computeLayersWithCapacity(
	model: PipelineModel,
	kind: string,
	capacity: number,
): number {
	let count = computeMaxLayers(model, kind);
	while (count > 0 && computeTokenCapacity(model, kind, count) < capacity) {
		count--;
	}

	return count;
}

/**
 * Chooses how many layers each engine of a group holds: the fastest engines get
 * as many as the target token capacity allows. If not all layers fit that way,
 * the split with the most token capacity is returned; undefined if none fits.
 */
export function splitLayersBySpeed(
	model: PipelineModel,
	kinds: readonly string[],
): number[] | undefined {
	const target = computeTargetCapacity(model, kinds);
	if (target === undefined) {
		return undefined;
	}

	const maxCounts = kinds.map((kind) =>
		computeLayersWithCapacity(model, kind, target),
	);
	const computeLayerMs = (index: number) => {
		const kind = model.kinds.get(kinds[index] ?? '');
		const stepMs = (model.stepMs * (kind?.stepFactor ?? 1)) / model.layers;
		return stepMs + stageOverheadMs / Math.max(1, maxCounts[index] ?? 0);
	};

	const counts = kinds.map(() => 0);
	let unplaced = model.layers;
	const fastestFirst = [...kinds.keys()].toSorted(
		(a, b) => computeLayerMs(a) - computeLayerMs(b) || a - b,
	);
	for (const index of fastestFirst) {
		counts[index] = Math.min(unplaced, maxCounts[index] ?? 0);
		unplaced -= counts[index];
	}

	return unplaced === 0 ? counts : splitLayersByCapacity(model, kinds);
}

/** Plans the first placement of all layers. */
export function planLayers(
	model: PipelineModel,
	engines: readonly PlaceableEngine[],
): LayerPlan {
	const plan = new Map<BackendId, LayerRange>();
	for (const group of splitReplicas(model, engines)) {
		placeReplica(model, group, plan);
	}

	return plan;
}

function placeReplica(
	model: PipelineModel,
	group: readonly PlaceableEngine[],
	plan: Map<BackendId, LayerRange>,
) {
	const counts = splitLayersBySpeed(
		model,
		group.map(({kind}) => kind),
	);
	if (!counts) {
		return;
	}

	let from = 0;
	for (const [index, engine] of group.entries()) {
		const to = from + (counts[index] ?? 0);
		if (to > from) {
			plan.set(engine.id, {from, to});
		}

		from = to;
	}
}

function computeMegabytes(
	model: PipelineModel,
	engines: readonly PlaceableEngine[],
): number {
	let sum = 0;
	for (const {kind} of engines) {
		sum += model.kinds.get(kind)?.megabytes ?? 0;
	}

	return sum;
}

/** Engines among which layers are placed, and how many replicas of each layer they are to hold. */
export type PlacementArea<Engine> = {
	readonly engines: readonly Engine[];
	readonly replicas: number;
};

/** Computes the memory that a group needs for all layers and the KV cache, in MB. */
const computeNeededMegabytes = (model: PipelineModel) =>
	(model.layers * model.layerMegabytes) / (1 - minCacheShare);

/**
 * Splits engines into areas. A data centre with enough memory for all layers is
 * an area of its own; all others together form one.
 */
export function listAreas<Engine extends PlaceableEngine>(
	model: PipelineModel,
	engines: readonly Engine[],
): Array<PlacementArea<Engine>> {
	const needed = computeNeededMegabytes(model);
	const areas: Array<PlacementArea<Engine>> = [];
	const rest: Engine[] = [];
	const byDataCentre = [...splitBy(engines, ({dataCentre}) => dataCentre)];
	for (const [, local] of byDataCentre.toSorted(([a], [b]) =>
		a < b ? -1 : 1,
	)) {
		if (computeMegabytes(model, local) >= needed) {
			areas.push({engines: local, replicas: countReplicas(model, local)});
		} else {
			rest.push(...local);
		}
	}

	if (rest.length > 0) {
		areas.push({engines: rest, replicas: countReplicas(model, rest)});
	}

	return areas;
}

/** Computes how many groups, and so replicas, the engines of an area form. */
function countReplicas(
	model: PipelineModel,
	engines: readonly PlaceableEngine[],
): number {
	const byMemory = Math.floor(
		computeMegabytes(model, engines) / computeNeededMegabytes(model),
	);
	return Math.max(
		1,
		Math.min(byMemory, Math.ceil(engines.length / preferredStages)),
	);
}

/** Forms groups that can each hold all layers and keep memory for the KV cache. */
function splitReplicas(
	model: PipelineModel,
	engines: readonly PlaceableEngine[],
): PlaceableEngine[][] {
	const sorted = engines.toSorted((a, b) => (a.id < b.id ? -1 : 1));
	return listAreas(model, sorted).flatMap((area) => splitArea(model, area));
}

/**
 * Distributes the engines of an area over its groups, so that the groups have
 * about the same memory. Each group is sorted by data centre, so that a pipeline
 * crosses between data centres as rarely as possible.
 */
function splitArea(
	model: PipelineModel,
	{engines, replicas}: PlacementArea<PlaceableEngine>,
): PlaceableEngine[][] {
	const readMegabytes = ({kind}: PlaceableEngine) =>
		model.kinds.get(kind)?.megabytes ?? 0;
	const groups = Array.from({length: replicas}, () => [] as PlaceableEngine[]);
	const largestFirst = engines.toSorted(
		(a, b) => readMegabytes(b) - readMegabytes(a),
	);
	for (const engine of largestFirst) {
		pickLowest(groups, (group) => computeMegabytes(model, group))?.push(engine);
	}

	return groups.map((group) =>
		group
			.slice(0, maxPipelineStages)
			.toSorted((a, b) => compareText(a.dataCentre, b.dataCentre)),
	);
}

function compareText(a: string, b: string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}

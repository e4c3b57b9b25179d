/**
 * Plans cache stages: idle engines that hold the layers with the least room for KV cache
 * once more. The placement leaves slow engines idle, which gives short steps as long as
 * the memory of the others suffices; beyond that, engines refuse or preempt requests
 * although memory stands empty.
 *
 * Answers the load of streams whose KV cache fills the engines that hold layers, such as
 * a flood of long prompts or the usual load after a loss of engines.
 */
import type {LayerRange} from '../state/backends.js';
import type {PipelineModel} from '../state/routes.js';
import {
	computeLayersWithCapacity,
	computeTargetCapacity,
	computeTokenCapacity,
	listAreas,
	type PlacementArea,
} from './layer-plan.js';
import {
	type EnginePlacement,
	type PlacementDemand,
	isFreeEngine,
	type LayerOrder,
	resolveRange,
} from './engine-placement.js';

/**
 * Share of the KV cache above which more is added. Each cache stage makes paths longer, so
 * that the loss of an engine breaks more streams, and takes an engine of the reserve.
 */
const maxCacheUse = 0.9;
/** Share of the least token capacity up to which the next layers count as the same bottleneck. */
const bottleneckSlack = 1.15;
/** Layers that a cache stage is wanted for at least; with fewer, paths get longer for little room. */
const minCacheLayers = 3;

/** Plans the cache stages that the demand calls for; none if there is room or too few engines are idle. */
export function planCacheStages(
	model: PipelineModel,
	engines: readonly EnginePlacement[],
	{tokens, reserve}: PlacementDemand,
): LayerOrder[] {
	const areas = listAreas(model, engines);
	// Requests stay within an area, as links between data centres are narrow.
	const wanted = tokens / areas.length / maxCacheUse;
	let spare = engines.filter((engine) => isFreeEngine(engine)).length - reserve;
	const orders: LayerOrder[] = [];
	// Areas take turns, so that the reserve is not left to one of them.
	let open = areas;
	while (open.length > 0 && spare > 0) {
		const next: typeof areas = [];
		for (const area of open.slice(0, spare)) {
			const order = planCacheStage(model, area, wanted);
			if (order) {
				orders.push(order);
				spare--;
				next.push({...area, engines: applyOrder(area.engines, order)});
			}
		}

		open = next;
	}

	return orders;
}

const applyOrder = (
	engines: readonly EnginePlacement[],
	{id, layers}: LayerOrder,
): EnginePlacement[] =>
	engines.map((engine) =>
		engine.id === id ? {...engine, pendingLayers: layers} : engine,
	);

function planCacheStage(
	model: PipelineModel,
	{engines, replicas}: PlacementArea<EnginePlacement>,
	wanted: number,
): LayerOrder | undefined {
	const capacities = computeLayerCapacities(model, engines);
	const bottleneck = findBottleneck(capacities);
	const missing = wanted - (capacities[bottleneck.from] ?? 0);
	// A layer that nobody holds is a gap, which is closed by other orders.
	if (missing <= 0 || Math.min(...capacities) === 0) {
		return undefined;
	}

	const wantedLayers = Math.max(
		bottleneck.to - bottleneck.from,
		Math.min(minCacheLayers, model.layers),
	);
	// An engine with less room than the others of its area would be relieved of its layers again.
	const targetCapacity =
		computeTargetCapacity(
			model,
			engines.map(({kind}) => kind),
			replicas,
		) ?? 0;
	const countLayers = ({kind}: EnginePlacement) =>
		Math.min(
			wantedLayers,
			computeLayersWithCapacity(model, kind, Math.max(missing, targetCapacity)),
		);
	const [best] = engines
		.filter((engine) => isFreeEngine(engine))
		.toSorted((a, b) => countLayers(b) - countLayers(a));
	const layers = best ? countLayers(best) : 0;
	if (!best || layers === 0) {
		return undefined;
	}

	const from = Math.min(bottleneck.from, model.layers - layers);
	return {id: best.id, layers: {from, to: from + layers}, reason: 'cache'};
}

/** Computes the tokens whose KV cache fits, by layer, over all engines. */
function computeLayerCapacities(
	model: PipelineModel,
	engines: readonly EnginePlacement[],
): number[] {
	const capacities = Array.from({length: model.layers}, () => 0);
	for (const engine of engines) {
		const range = resolveRange(engine);
		if (!range || engine.isSuspect) {
			continue;
		}

		const tokens = Math.max(
			0,
			computeTokenCapacity(model, engine.kind, range.to - range.from),
		);
		for (let layer = range.from; layer < range.to; layer++) {
			capacities[layer] = (capacities[layer] ?? 0) + tokens;
		}
	}

	return capacities;
}

/** Finds the layers around the one with the least room that have hardly more. */
function findBottleneck(capacities: readonly number[]): LayerRange {
	const least = Math.min(...capacities);
	const isTight = (layer: number) =>
		(capacities[layer] ?? Number.POSITIVE_INFINITY) <= least * bottleneckSlack;
	const from = capacities.findIndex((_, layer) => isTight(layer));
	let to = from + 1;
	while (to < capacities.length && isTight(to)) {
		to++;
	}

	return {from, to};
}

/**
 * Plans layer orders. An order assigns a new layer range to one engine.
 *
 * If no engine holds layers yet, all layers are placed at once. After that, an
 * uncovered or under-replicated layer range is assigned to an engine that is
 * idle or whose layers are all replicated elsewhere; if there is none, the
 * engines with adjacent ranges extend theirs. An engine with too little token
 * capacity is relieved of layers at the edge of its range: a neighbour loads
 * them first, and only then does the engine release them, so that no layer
 * becomes uncovered in between.
 */
import type {LayerRange} from '../state/backends.js';
import type {PipelineModel} from '../state/routes.js';
import {planCacheStages} from './cache-stages.js';
import {
	type EnginePlacement,
	type LayerOrder,
	type PlacementDemand,
	resolveRange,
} from './engine-placement.js';
import {planFrontStages} from './front-stages.js';
import {
	computeLayersWithCapacity,
	computeMaxLayers,
	computeTargetCapacity,
	computeTokenCapacity,
	listAreas,
	planLayers,
} from './layer-plan.js';

/** Token capacity that an engine keeps when it extends into an uncovered range. */
const minTokenCapacity = 12_000;
/** An engine is relieved when its token capacity is below this share of the target. */
const reliefThreshold = 0.7;
/**
 * Factor by which a neighbour's remaining token capacity must exceed that of
 * the engine that it relieves.
 */
const minReliefGain = 1.2;

const countLayers = ({from, to}: LayerRange) => to - from;
const containsLayer = (range: LayerRange | undefined, layer: number) =>
	range !== undefined && layer >= range.from && layer < range.to;

/** Plans the next orders. An engine with a pending order gets none. Without a known demand, front stages are left as they are. */
export function planLayerOrders(
	model: PipelineModel,
	engines: readonly EnginePlacement[],
	demand?: PlacementDemand,
): LayerOrder[] {
	const usable = engines.filter(({isUsable}) => isUsable);
	if (usable.every((engine) => resolveRange(engine) === undefined)) {
		return [...planLayers(model, usable)].map(([id, layers]) => ({
			id,
			layers,
			reason: 'first',
		}));
	}

	const orders = listAreas(model, usable).flatMap(
		({engines: local, replicas}) => planArea(model, local, replicas),
	);
	// Lost layers are replaced first, as they need the idle engines more.
	const isMending = orders.some(({reason}) => reason !== 'relief');
	if (!demand || isMending) {
		return orders;
	}

	const demandOrders = planDemandOrders(model, usable, demand);
	const ordered = new Set(demandOrders.map(({id}) => id));
	return [...demandOrders, ...orders.filter(({id}) => !ordered.has(id))];
}

/** Gives idle engines the layers that the demand calls for: first stages before KV cache. */
function planDemandOrders(
	model: PipelineModel,
	engines: readonly EnginePlacement[],
	demand: PlacementDemand,
): LayerOrder[] {
	const frontOrders = planFrontStages(model, engines, demand);
	const ranges = new Map(frontOrders.map(({id, layers}) => [id, layers]));
	const withFronts = engines.map((engine) => ({
		...engine,
		pendingLayers: ranges.get(engine.id) ?? engine.pendingLayers,
	}));
	return [...frontOrders, ...planCacheStages(model, withFronts, demand)];
}

function planArea(
	model: PipelineModel,
	local: readonly EnginePlacement[],
	replicas: number,
): LayerOrder[] {
	const targetCapacity =
		computeTargetCapacity(
			model,
			local.map(({kind}) => kind),
			replicas,
		) ?? minTokenCapacity;
	const coverageOrders = planCoverageOrders(
		model,
		local,
		replicas,
		targetCapacity,
	);
	if (coverageOrders.length > 0) {
		return coverageOrders;
	}

	const neighbourOrder = planNeighbourOrder(model, local);
	if (neighbourOrder) {
		return [neighbourOrder];
	}

	const hasPendingOrder = local.some(
		({pendingLayers: ordered}) => ordered !== undefined,
	);
	const reliefOrder = hasPendingOrder
		? undefined
		: planRelief(model, local, {replicas, targetCapacity});
	return reliefOrder ? [reliefOrder] : [];
}

/** Assigns under-replicated layer ranges to engines that are free to move. */
function planCoverageOrders(
	model: PipelineModel,
	local: readonly EnginePlacement[],
	replicas: number,
	targetCapacity: number,
): LayerOrder[] {
	const orders: LayerOrder[] = [];
	let current = local;
	for (;;) {
		const holders = current.filter(({isSuspect}) => !isSuspect);
		const underReplicated = findUnderReplicatedRange(model, holders, replicas);
		const engine =
			underReplicated && chooseFreeEngine(model, holders, replicas);
		if (!underReplicated || !engine) {
			return orders;
		}

		const size = Math.max(
			1,
			computeLayersWithCapacity(model, engine.kind, targetCapacity),
		);
		const from = Math.min(underReplicated.from, model.layers - size);
		const layers = {from, to: from + size};
		orders.push({id: engine.id, layers, reason: 'gap'});
		current = current.map((item) =>
			item === engine ? {...item, pendingLayers: layers} : item,
		);
	}
}

/**
 * Chooses the largest idle engine, otherwise the largest engine whose layers
 * all have enough replicas elsewhere.
 */
function chooseFreeEngine(
	model: PipelineModel,
	holders: readonly EnginePlacement[],
	replicas: number,
): EnginePlacement | undefined {
	const available = holders.filter(
		({pendingLayers: ordered}) => ordered === undefined,
	);
	const isRedundant = (engine: EnginePlacement) => {
		const others = holders.filter((other) => other !== engine);
		const {from, to} = engine.layers ?? {from: 0, to: 0};
		for (let layer = from; layer < to; layer++) {
			const otherHolders = others.filter((other) =>
				containsLayer(resolveRange(other), layer),
			);
			if (otherHolders.length < replicas) {
				return false;
			}
		}

		return true;
	};

	const idle = available.filter(
		({layers, isLimited}) => layers === undefined && !isLimited,
	);
	const free =
		idle.length > 0 ? idle : available.filter((engine) => isRedundant(engine));
	return free.toSorted(
		(a, b) => computeMaxLayers(model, b.kind) - computeMaxLayers(model, a.kind),
	)[0];
}

/** Extends the range of one engine into the adjacent uncovered layers. */
function planNeighbourOrder(
	model: PipelineModel,
	local: readonly EnginePlacement[],
): LayerOrder | undefined {
	const uncovered = findUnderReplicatedRange(model, local, 1);
	if (!uncovered) {
		return undefined;
	}

	let best: (LayerOrder & {capacity: number}) | undefined;
	for (const engine of local) {
		const isFree = engine.pendingLayers === undefined && !engine.isSuspect;
		if (!isFree || !engine.layers) {
			continue;
		}

		const layers = extendIntoRange(model, engine, uncovered);
		const capacity = layers
			? computeTokenCapacity(model, engine.kind, countLayers(layers))
			: 0;
		if (layers && (!best || capacity > best.capacity)) {
			best = {id: engine.id, layers, reason: 'neighbour', capacity};
		}
	}

	return best && {id: best.id, layers: best.layers, reason: best.reason};
}

/**
 * Extends an engine's range into an adjacent uncovered range as far as its
 * memory allows. It takes at most half of it (rounded up), since the neighbour
 * on the other side can take the rest; an uncovered range at the first or last
 * layer has only one neighbour, which may take all of it.
 */
function extendIntoRange(
	model: PipelineModel,
	{kind, layers}: EnginePlacement,
	uncovered: LayerRange,
): LayerRange | undefined {
	const isLeft = layers?.to === uncovered.from;
	const isRight = layers?.from === uncovered.to;
	if (!layers || (!isLeft && !isRight)) {
		return undefined;
	}

	const isAtEdge = uncovered.from === 0 || uncovered.to === model.layers;
	const desired = isAtEdge
		? countLayers(uncovered)
		: Math.ceil(countLayers(uncovered) / 2);
	const maxAdded =
		computeLayersWithCapacity(model, kind, minTokenCapacity) -
		countLayers(layers);
	const added = Math.min(desired, maxAdded);
	if (added <= 0) {
		return undefined;
	}

	return isLeft
		? {from: layers.from, to: layers.to + added}
		: {from: layers.from - added, to: layers.to};
}

/** Plans one step that raises the token capacity of the engine with the least. */
function planRelief(
	model: PipelineModel,
	local: readonly EnginePlacement[],
	{
		replicas,
		targetCapacity,
	}: {readonly replicas: number; readonly targetCapacity: number},
): LayerOrder | undefined {
	const computeCapacity = ({kind, layers}: EnginePlacement) =>
		layers
			? computeTokenCapacity(model, kind, countLayers(layers))
			: Number.POSITIVE_INFINITY;
	const constrained = local
		.filter(
			(engine) =>
				!engine.isSuspect &&
				computeCapacity(engine) < reliefThreshold * targetCapacity,
		)
		.toSorted((a, b) => computeCapacity(a) - computeCapacity(b));
	for (const engine of constrained) {
		const order =
			planShrink(engine, local, replicas) ??
			planTakeover(model, engine, local, computeCapacity(engine));
		if (order) {
			return order;
		}
	}

	return undefined;
}

/** Releases layers at the edges of an engine's range that have enough replicas elsewhere. */
function planShrink(
	{id, layers}: EnginePlacement,
	local: readonly EnginePlacement[],
	replicas: number,
): LayerOrder | undefined {
	if (!layers) {
		return undefined;
	}

	const isHeldElsewhere = (layer: number) => {
		const others = local.filter(
			(other) =>
				other.id !== id &&
				!other.isSuspect &&
				containsLayer(other.layers, layer),
		);
		return others.length >= replicas;
	};

	let {from, to} = layers;
	while (to - from > 1 && isHeldElsewhere(to - 1)) {
		to--;
	}

	while (to - from > 1 && isHeldElsewhere(from)) {
		from++;
	}

	return to - from < countLayers(layers)
		? {id, layers: {from, to}, reason: 'shrink'}
		: undefined;
}

/**
 * Has another engine load layers at the edge of an engine's range: an idle
 * engine takes up to half of the range, a neighbour takes one layer.
 */
function planTakeover(
	model: PipelineModel,
	{layers}: EnginePlacement,
	local: readonly EnginePlacement[],
	capacity: number,
): LayerOrder | undefined {
	if (!layers || countLayers(layers) < 2) {
		return undefined;
	}

	const idle = local.find(
		(other) => !other.layers && !other.pendingLayers && !other.isSuspect,
	);
	if (idle) {
		const half = Math.ceil(countLayers(layers) / 2);
		const size = Math.min(half, computeMaxLayers(model, idle.kind));
		return size > 0
			? {
					id: idle.id,
					layers: {from: layers.to - size, to: layers.to},
					reason: 'relief',
				}
			: undefined;
	}

	let best: (LayerOrder & {capacity: number}) | undefined;
	for (const other of local) {
		const extended = extendByOne(other.layers, layers);
		const remaining = extended
			? computeTokenCapacity(model, other.kind, countLayers(extended))
			: 0;
		if (
			extended &&
			remaining > minReliefGain * capacity &&
			(!best || remaining > best.capacity)
		) {
			best = {
				id: other.id,
				layers: extended,
				reason: 'relief',
				capacity: remaining,
			};
		}
	}

	return best && {id: best.id, layers: best.layers, reason: best.reason};
}

/** Extends a range by the nearest layer of an adjacent range; undefined if they aren't adjacent. */
function extendByOne(
	range: LayerRange | undefined,
	neighbour: LayerRange,
): LayerRange | undefined {
	if (range?.to === neighbour.from) {
		return {from: range.from, to: range.to + 1};
	}

	return range?.from === neighbour.to
		? {from: range.from - 1, to: range.to}
		: undefined;
}

/** Finds the first contiguous layer range that fewer than `replicas` engines hold. */
function findUnderReplicatedRange(
	model: PipelineModel,
	holders: readonly EnginePlacement[],
	replicas: number,
): LayerRange | undefined {
	const counts = Array.from({length: model.layers}, () => 0);
	for (const holder of holders) {
		const range = resolveRange(holder);
		// Requests begin at the first layer, so another engine takes over from a limited one there.
		const first = holder.isLimited ? 1 : 0;
		const from = Math.max(first, range?.from ?? 0);
		for (let layer = from; layer < (range?.to ?? 0); layer++) {
			counts[layer] = (counts[layer] ?? 0) + 1;
		}
	}

	const from = counts.findIndex((count) => count < replicas);
	if (from === -1) {
		return undefined;
	}

	const length = counts.slice(from).findIndex((count) => count >= replicas);
	return {from, to: length === -1 ? model.layers : from + length};
}

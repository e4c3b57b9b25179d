/**
 * Places the layers of a model on engines of mixed memory. Engines are formed
 * into groups, each of which holds every layer once, as far as possible within
 * one data centre. The engine with the least room for tokens bounds a pipeline;
 * a group keeps a share of the best room that it could have, and within that
 * gives the layers to its fastest engines. The others stand by empty, to take
 * the place of one that is lost.
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

export type LayerPlan = ReadonlyMap<BackendId, LayerRange>;

/** Most stages of a pipeline, which is what engines accept in one path. */
export const maxStages = 32;
/** Stages that a group is given if there are engines enough for another one. */
const preferredStages = 16;
/** Share of a group's memory that is left for the KV cache at least. */
const minCacheShare = 0.25;

/** Most layers that an engine holds, with none of its memory left. */
export function computeMaxLayers(model: PipelineModel, kind: string): number {
	const megabytes = model.kinds.get(kind)?.megabytes ?? 0;
	return Math.min(model.layers, Math.floor(megabytes / model.layerMegabytes));
}

/** Tokens whose KV cache fits beside some layers of an engine. */
export function computeTokenRoom(
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
 * Chooses how many layers each engine of a group holds, so that the least token
 * room is greatest; `copies` is how often the group holds each layer.
 */
export function splitLayers(
	model: PipelineModel,
	kinds: readonly string[],
	copies = 1,
): number[] | undefined {
	const counts = kinds.map(() => 0);
	for (let placed = 0; placed < copies * model.layers; placed++) {
		let best = -1;
		let bestRoom = 0;
		for (const [index, kind] of kinds.entries()) {
			const room = computeTokenRoom(model, kind, (counts[index] ?? 0) + 1);
			if (room > bestRoom) {
				best = index;
				bestRoom = room;
			}
		}

		if (best === -1) {
			return undefined;
		}

		counts[best] = (counts[best] ?? 0) + 1;
	}

	return counts;
}

/** Share of a group's best token room that is kept; the rest buys speed and engines in reserve. */
const roomShare = 0.5;
/** Delay of one more stage, in milliseconds. */
const stageMs = 0.2;

/** Computes the token room that every engine of a group is to have; nothing if it can't hold all layers. */
export function computeTargetRoom(
	model: PipelineModel,
	kinds: readonly string[],
	copies = 1,
): number | undefined {
	const counts = splitLayers(model, kinds, copies);
	if (!counts) {
		return undefined;
	}

	const rooms = kinds.map((kind, index) =>
		computeTokenRoom(model, kind, counts[index] ?? 0),
	);
	return roomShare * Math.min(...rooms);
}

/** Most layers with which an engine has room for some tokens. */
export function computeLayersFor(
	model: PipelineModel,
	kind: string,
	room: number,
): number {
	let count = computeMaxLayers(model, kind);
	while (count > 0 && computeTokenRoom(model, kind, count) < room) {
		count--;
	}

	return count;
}

/** Chooses how many layers each engine of a group holds: as many as fit at the fastest ones. */
export function splitLayersBySpeed(
	model: PipelineModel,
	kinds: readonly string[],
): number[] | undefined {
	const target = computeTargetRoom(model, kinds);
	if (target === undefined) {
		return undefined;
	}

	const capacities = kinds.map((kind) => computeLayersFor(model, kind, target));
	const computeLayerMs = (index: number) => {
		const kind = model.kinds.get(kinds[index] ?? '');
		const stepMs = (model.stepMs * (kind?.stepFactor ?? 1)) / model.layers;
		return stepMs + stageMs / Math.max(1, capacities[index] ?? 0);
	};

	const counts = kinds.map(() => 0);
	let left = model.layers;
	const fastestFirst = [...kinds.keys()].toSorted(
		(a, b) => computeLayerMs(a) - computeLayerMs(b) || a - b,
	);
	for (const index of fastestFirst) {
		counts[index] = Math.min(left, capacities[index] ?? 0);
		left -= counts[index];
	}

	return left === 0 ? counts : splitLayers(model, kinds);
}

/** Plans the first placement of all layers. */
export function planLayers(
	model: PipelineModel,
	engines: readonly PlaceableEngine[],
): LayerPlan {
	const plan = new Map<BackendId, LayerRange>();
	for (const group of splitGroups(model, engines)) {
		placeGroup(model, group, plan);
	}

	return plan;
}

function placeGroup(
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

/** Engines that share out the layers among themselves, and how often they are to hold each. */
export type PlacementArea<Engine> = {
	readonly engines: readonly Engine[];
	readonly copies: number;
};

/** Memory that a group needs, in MB. */
const computeNeededMegabytes = (model: PipelineModel) =>
	(model.layers * model.layerMegabytes) / (1 - minCacheShare);

/** Splits engines into areas: a data centre, or several that are too small alone. */
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
			areas.push({engines: local, copies: countCopies(model, local)});
		} else {
			rest.push(...local);
		}
	}

	if (rest.length > 0) {
		areas.push({engines: rest, copies: countCopies(model, rest)});
	}

	return areas;
}

/** Groups that the engines of an area form. */
function countCopies(
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

/** Forms groups that can each hold all layers, with room for requests. */
function splitGroups(
	model: PipelineModel,
	engines: readonly PlaceableEngine[],
): PlaceableEngine[][] {
	const sorted = engines.toSorted((a, b) => (a.id < b.id ? -1 : 1));
	return listAreas(model, sorted).flatMap((area) => splitEngines(model, area));
}

/** Deals the engines of an area out to its groups, each in the order of its data centres. */
function splitEngines(
	model: PipelineModel,
	{engines, copies}: PlacementArea<PlaceableEngine>,
): PlaceableEngine[][] {
	const readMegabytes = ({kind}: PlaceableEngine) =>
		model.kinds.get(kind)?.megabytes ?? 0;
	const groups = Array.from({length: copies}, () => [] as PlaceableEngine[]);
	const largestFirst = engines.toSorted(
		(a, b) => readMegabytes(b) - readMegabytes(a),
	);
	for (const engine of largestFirst) {
		pickLowest(groups, (group) => computeMegabytes(model, group))?.push(engine);
	}

	return groups.map((group) =>
		group
			.slice(0, maxStages)
			.toSorted((a, b) => compareText(a.dataCentre, b.dataCentre)),
	);
}

function compareText(a: string, b: string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}

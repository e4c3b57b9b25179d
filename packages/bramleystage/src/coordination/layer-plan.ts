/**
 * Places the layers of a model on engines of mixed memory. Engines are formed
 * into groups, each of which holds every layer once, as far as possible within
 * one data centre; the shares within a group are chosen so that all its engines
 * have room for about equally many tokens, since the one with the least room
 * bounds the whole pipeline.
 */
import type {BackendId, DataCentreId} from '../protocol/ids.js';
import type {LayerRange} from '../state/backends.js';
import type {PipelineModel} from '../state/routes.js';
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

/** Chooses how many layers each engine of a group holds, so that the least token room is greatest. */
export function splitLayers(
	model: PipelineModel,
	kinds: readonly string[],
): number[] | undefined {
	const counts = kinds.map(() => 0);
	for (let placed = 0; placed < model.layers; placed++) {
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

/** Plans the first placement of all layers. */
export function planLayers(
	model: PipelineModel,
	engines: readonly PlaceableEngine[],
): LayerPlan {
	const plan = new Map<BackendId, LayerRange>();
	for (const group of formGroups(model, engines)) {
		placeGroup(model, group, plan);
	}

	return plan;
}

function placeGroup(
	model: PipelineModel,
	group: readonly PlaceableEngine[],
	plan: Map<BackendId, LayerRange>,
) {
	const counts = splitLayers(
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

const sumMegabytes = (
	model: PipelineModel,
	engines: readonly PlaceableEngine[],
) =>
	engines.reduce(
		(sum, {kind}) => sum + (model.kinds.get(kind)?.megabytes ?? 0),
		0,
	);

/** Forms groups that can each hold all layers, with room for requests. */
function formGroups(
	model: PipelineModel,
	engines: readonly PlaceableEngine[],
): PlaceableEngine[][] {
	const needed = (model.layers * model.layerMegabytes) / (1 - minCacheShare);
	const byDataCentre = splitBy(
		engines.toSorted((a, b) => (a.id < b.id ? -1 : 1)),
		({dataCentre}) => dataCentre,
	);
	const groups: PlaceableEngine[][] = [];
	const rest: PlaceableEngine[] = [];
	for (const [, local] of [...byDataCentre].toSorted(([a], [b]) =>
		a < b ? -1 : 1,
	)) {
		if (sumMegabytes(model, local) >= needed) {
			groups.push(...splitDataCentre(model, local, needed));
		} else {
			rest.push(...local);
		}
	}

	if (sumMegabytes(model, rest) >= needed || groups.length === 0) {
		groups.push(rest);
	} else {
		groups.at(-1)?.push(...rest);
	}

	return groups.map((group) =>
		group
			.toSorted(
				(a, b) =>
					(model.kinds.get(b.kind)?.megabytes ?? 0) -
					(model.kinds.get(a.kind)?.megabytes ?? 0),
			)
			.slice(0, maxStages)
			.toSorted((a, b) => (a.dataCentre < b.dataCentre ? -1 : a.dataCentre > b.dataCentre ? 1 : 0)),
	);
}

/** Deals the engines of a data centre out to as many groups as they fill well. */
function splitDataCentre(
	model: PipelineModel,
	local: readonly PlaceableEngine[],
	needed: number,
): PlaceableEngine[][] {
	const byMemory = Math.floor(sumMegabytes(model, local) / needed);
	const count = Math.max(
		1,
		Math.min(byMemory, Math.ceil(local.length / preferredStages)),
	);
	const groups = Array.from({length: count}, () => [] as PlaceableEngine[]);
	const largestFirst = local.toSorted(
		(a, b) =>
			(model.kinds.get(b.kind)?.megabytes ?? 0) -
			(model.kinds.get(a.kind)?.megabytes ?? 0),
	);
	for (const engine of largestFirst) {
		const least = groups.reduce((a, b) =>
			sumMegabytes(model, b) < sumMegabytes(model, a) ? b : a,
		);
		least.push(engine);
	}

	return groups;
}

/**
 * Chooses the pipeline of a model request: the cheapest path through engines
 * that together cover all layers. A stage may run only part of the layers that
 * its engine holds, so the ranges of the engines may overlap.
 *
 * The search is a shortest path by dynamic programming over the layers: from the first
 * one on for a single cheapest path, from the last one back for one from each engine.
 */
import type {BackendId, DataCentreId} from '../protocol/ids.js';
import type {LayerRange} from '../state/backends.js';
import {pickLowest} from '../state/pick-lowest.js';

/** An engine that holds layers, with its costs. */
export type PathEngine = {
	readonly id: BackendId;
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly layers: LayerRange;
	/** Expected time of one layer on this engine, in milliseconds. */
	readonly layerCost: number;
	/** Extra cost of being the first stage, in milliseconds; infinite if it must not be. */
	readonly firstStageCost: number;
	/** Slots as the first stage and requests for each of them, over all gateways; absent if not known. */
	readonly firstStageLoad?: {readonly slots: number; readonly slotLoad: number};
};

/** A pipeline stage: the layers that one engine runs. */
export type PathStage = {
	readonly id: BackendId;
	readonly address: string;
	readonly layers: LayerRange;
};

/** Computes the expected time of sending activations to the next stage, in milliseconds. */
export type ComputeHopCost = (from: DataCentreId, to: DataCentreId) => number;

/** The cheapest partial path that runs the current layer on `engine`. */
type PathStep = {
	readonly engine: PathEngine;
	readonly cost: number;
	readonly previous?: PathStep;
};

/** Chooses a cheapest path over all layers; undefined if no usable path covers them. */
export function choosePath(
	engines: readonly PathEngine[],
	layers: number,
	computeHopCost: ComputeHopCost,
): PathStage[] | undefined {
	let reached: PathStep[] = [];
	for (let layer = 0; layer < layers; layer++) {
		const next: PathStep[] = [];
		const best = findBestSteps(reached);
		for (const engine of engines) {
			if (layer < engine.layers.from || layer >= engine.layers.to) {
				continue;
			}

			if (layer === 0) {
				next.push({engine, cost: engine.firstStageCost + engine.layerCost});
				continue;
			}

			const previous = findPrevious(engine, reached, best, computeHopCost);
			if (previous) {
				next.push({
					engine,
					cost: previous.cost + engine.layerCost,
					previous: previous.step,
				});
			}
		}

		if (next.length === 0) {
			return undefined;
		}

		reached = next;
	}

	const last = pickLowest(reached, ({cost}) => cost);
	if (!last || last.cost === Number.POSITIVE_INFINITY) {
		return undefined;
	}

	return mergeRepeatedEngines(listStages(last, layers));
}

/** The cheapest path from one engine over all layers. */
export type PathOption = {
	readonly first: PathEngine;
	readonly cost: number;
	readonly listStages: () => PathStage[];
};

/** The cheapest rest of a path that runs the current layer on `engine`. */
type OnwardStep = {
	readonly engine: PathEngine;
	readonly cost: number;
	readonly next?: OnwardStep;
};

/** Lists a cheapest path over all layers from each engine that can be the first stage. */
export function listPathOptions(
	engines: readonly PathEngine[],
	layers: number,
	computeHopCost: ComputeHopCost,
): PathOption[] {
	let reached = new Map<PathEngine, OnwardStep>();
	for (let layer = layers - 1; layer >= 0; layer--) {
		const steps = new Map<PathEngine, OnwardStep>();
		const best = findBestSteps(reached.values());
		for (const engine of engines) {
			if (layer < engine.layers.from || layer >= engine.layers.to) {
				continue;
			}

			if (layer === layers - 1) {
				steps.set(engine, {engine, cost: engine.layerCost});
				continue;
			}

			let next = reached.get(engine);
			let cost = next?.cost ?? Number.POSITIVE_INFINITY;
			for (const step of best.values()) {
				const hopCost = computeHopCost(
					engine.dataCentre,
					step.engine.dataCentre,
				);
				if (step.engine !== engine && step.cost + hopCost < cost) {
					next = step;
					cost = step.cost + hopCost;
				}
			}

			if (next) {
				steps.set(engine, {engine, cost: cost + engine.layerCost, next});
			}
		}

		reached = steps;
	}

	return [...reached.values()]
		.map((step) => ({
			first: step.engine,
			cost: step.cost + step.engine.firstStageCost,
			listStages: () => mergeRepeatedEngines(listOnwardStages(step)),
		}))
		.filter(({cost}) => Number.isFinite(cost));
}

function listOnwardStages(first: OnwardStep): PathStage[] {
	const stages: PathStage[] = [];
	let from = 0;
	let to = 0;
	for (let step: OnwardStep | undefined = first; step; step = step.next) {
		to++;
		if (step.next?.engine !== step.engine) {
			const {id, address} = step.engine;
			stages.push({id, address, layers: {from, to}});
			from = to;
		}
	}

	return stages;
}

/** Finds the cheapest step of each data centre. */
function findBestSteps<Step extends Pick<PathStep, 'engine' | 'cost'>>(
	reached: Iterable<Step>,
): ReadonlyMap<DataCentreId, Step> {
	const best = new Map<DataCentreId, Step>();
	for (const step of reached) {
		const current = best.get(step.engine.dataCentre);
		if (!current || step.cost < current.cost) {
			best.set(step.engine.dataCentre, step);
		}
	}

	return best;
}

/** Finds the cheapest predecessor of an engine: the engine itself or another one plus the hop. */
function findPrevious(
	engine: PathEngine,
	reached: readonly PathStep[],
	best: ReadonlyMap<DataCentreId, PathStep>,
	computeHopCost: ComputeHopCost,
): {step: PathStep; cost: number} | undefined {
	const own = reached.find((step) => step.engine === engine);
	let cheapest = own && {step: own, cost: own.cost};
	for (const [dataCentre, step] of best) {
		const cost = step.cost + computeHopCost(dataCentre, engine.dataCentre);
		if (step.engine !== engine && (!cheapest || cost < cheapest.cost)) {
			cheapest = {step, cost};
		}
	}

	return cheapest;
}

function listStages(last: PathStep, layers: number): PathStage[] {
	const stages: PathStage[] = [];
	let to = layers;
	let from = layers;
	for (let step: PathStep | undefined = last; step; step = step.previous) {
		from--;
		if (step.previous?.engine !== step.engine) {
			const {id, address} = step.engine;
			stages.push({id, address, layers: {from, to}});
			to = from;
		}
	}

	return stages.toReversed();
}

/**
 * Merges stages of the same engine, since a path may name an engine only once.
 * The engine then also runs the layers of the stages in between.
 */
function mergeRepeatedEngines(stages: readonly PathStage[]): PathStage[] {
	const merged: PathStage[] = [];
	for (const stage of stages) {
		const index = merged.findIndex(({id}) => id === stage.id);
		const existing = merged[index];
		if (existing) {
			merged.splice(index, merged.length - index, {
				...existing,
				layers: {from: existing.layers.from, to: stage.layers.to},
			});
		} else {
			merged.push(stage);
		}
	}

	return merged;
}

/**
 * Chooses a cheapest path whose first stage is given, for a request that is
 * already running there. Returns undefined if no path exists.
 */
export function choosePathFromStage(
	first: PathStage & {readonly dataCentre: DataCentreId},
	engines: readonly PathEngine[],
	layers: number,
	computeHopCost: ComputeHopCost,
): PathStage[] | undefined {
	const start = first.layers.to;
	const own = {...first, layerCost: 0, firstStageCost: 0};
	const rest = engines
		.filter(({id, layers: held}) => id !== first.id && held.to > start)
		.map((engine) => ({
			...engine,
			layers: {...engine.layers, from: Math.max(start, engine.layers.from)},
		}));
	return choosePath([own, ...rest], layers, computeHopCost);
}

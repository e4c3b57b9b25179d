/**
 * Chooses the stages of a model request: a cheapest path over the layers through
 * engines that hold them. A stage may run part of what its engine holds, so any
 * engines that together cover the layers make a path.
 */
import type {BackendId, DataCentreId} from '../protocol/ids.js';
import type {LayerRange} from '../state/backends.js';
import {pickLowest} from '../state/pick-lowest.js';

/** An engine with layers, as a path sees it. */
export type PathEngine = {
	readonly id: BackendId;
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly layers: LayerRange;
	/** Cost of one layer here, in milliseconds of expected time. */
	readonly layerCost: number;
	/** Cost of taking the request in as the first stage. */
	readonly firstCost: number;
};

export type PathStage = {
	readonly id: BackendId;
	readonly address: string;
	readonly layers: LayerRange;
};

/** Computes the cost of passing activations on, in milliseconds of expected time. */
export type ComputeHopCost = (from: DataCentreId, to: DataCentreId) => number;

type Step = {
	readonly engine: PathEngine;
	readonly cost: number;
	readonly previous?: Step;
};

/** Chooses a cheapest path over all layers, or none if some layer is held by nobody. */
export function choosePath(
	engines: readonly PathEngine[],
	layers: number,
	computeHopCost: ComputeHopCost,
): PathStage[] | undefined {
	let reached: Step[] = [];
	for (let layer = 0; layer < layers; layer++) {
		const next: Step[] = [];
		const best = findBestSteps(reached);
		for (const engine of engines) {
			if (layer < engine.layers.from || layer >= engine.layers.to) {
				continue;
			}

			if (layer === 0) {
				next.push({engine, cost: engine.firstCost + engine.layerCost});
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

	return mergeRepeated(listStages(last, layers));
}

/** Cheapest step of each data centre. */
function findBestSteps(
	reached: readonly Step[],
): ReadonlyMap<DataCentreId, Step> {
	const best = new Map<DataCentreId, Step>();
	for (const step of reached) {
		const known = best.get(step.engine.dataCentre);
		if (!known || step.cost < known.cost) {
			best.set(step.engine.dataCentre, step);
		}
	}

	return best;
}

/** Finds the cheapest way to go on at an engine: stay there or come from another one. */
function findPrevious(
	engine: PathEngine,
	reached: readonly Step[],
	best: ReadonlyMap<DataCentreId, Step>,
	computeHopCost: ComputeHopCost,
): {step: Step; cost: number} | undefined {
	const own = reached.find((step) => step.engine === engine);
	let found = own && {step: own, cost: own.cost};
	for (const [dataCentre, step] of best) {
		const cost = step.cost + computeHopCost(dataCentre, engine.dataCentre);
		if (step.engine !== engine && (!found || cost < found.cost)) {
			found = {step, cost};
		}
	}

	return found;
}

function listStages(last: Step, layers: number): PathStage[] {
	const stages: PathStage[] = [];
	let to = layers;
	let from = layers;
	for (let step: Step | undefined = last; step; step = step.previous) {
		from--;
		if (step.previous?.engine !== step.engine) {
			const {id, address} = step.engine;
			stages.push({id, address, layers: {from, to}});
			to = from;
		}
	}

	return stages.toReversed();
}

/** An engine may stand in a path only once; if it comes back, it runs all between. */
function mergeRepeated(stages: readonly PathStage[]): PathStage[] {
	const merged: PathStage[] = [];
	for (const stage of stages) {
		const index = merged.findIndex(({id}) => id === stage.id);
		const known = merged[index];
		if (known) {
			merged.splice(index, merged.length - index, {
				...known,
				layers: {from: known.layers.from, to: stage.layers.to},
			});
		} else {
			merged.push(stage);
		}
	}

	return merged;
}

/** Chooses a cheapest path that begins with a given stage, for a request that runs there. */
export function choosePathAfter(
	first: PathStage,
	engines: readonly PathEngine[],
	layers: number,
	computeHopCost: ComputeHopCost,
): PathStage[] | undefined {
	const start = first.layers.to;
	const own = engines.find(({id}) => id === first.id);
	const rest = engines
		.filter(({id, layers: held}) => id !== first.id && held.to > start)
		.map((engine) => ({
			...engine,
			layers: {...engine.layers, from: Math.max(start, engine.layers.from)},
		}));
	return own
		? choosePath(
				[{...own, layers: first.layers}, ...rest],
				layers,
				computeHopCost,
			)
		: undefined;
}

/**
 * Plans front stages: idle engines that hold the first layers only. A request is received
 * by the engine of its first stage, which takes a limited number of requests at a time, so
 * a fleet whose replicas are few and large runs out of places while its memory is half
 * empty. A range of few layers costs hardly any memory and loads within a fraction of a
 * second, and the engine can still be given other layers when one is lost.
 *
 * Answers the load of many short streams: all first stages full, engines beside them idle.
 */
import type {DataCentreId} from '../protocol/ids.js';
import type {PipelineModel} from '../state/routes.js';
import {pickLowest} from '../state/pick-lowest.js';
import {computeMaxLayers} from './layer-plan.js';
import {
	type EnginePlacement,
	isFreeEngine,
	isSoundEngine,
	type LayerOrder,
	type PlacementDemand,
	resolveRange,
} from './engine-placement.js';

/** Layers of a front stage. */
const frontLayers = 1;
/**
 * Share of the first stages' slots above which more are added. Requests are spread over
 * them at random and by estimates that lag, so some fill up long before all are full.
 */
const maxSlotUse = 0.5;

const isFirstStage = (engine: EnginePlacement) =>
	isSoundEngine(engine) && resolveRange(engine)?.from === 0;

/** Plans the front stages that the demand calls for; none if the first stages suffice or too few engines are idle. */
export function planFrontStages(
	model: PipelineModel,
	engines: readonly EnginePlacement[],
	{running, reserve}: PlacementDemand,
): LayerOrder[] {
	const firstStages = engines.filter((engine) => isFirstStage(engine));
	const wanted =
		Math.ceil(running / (maxSlotUse * model.slots)) - firstStages.length;
	const idle = engines.filter(
		(engine) =>
			isFreeEngine(engine) &&
			computeMaxLayers(model, engine.kind) >= frontLayers,
	);
	const count = Math.min(wanted, idle.length - reserve);
	if (count <= 0) {
		return [];
	}

	// The largest idle engines stay idle: they can take over the most layers.
	const smallestFirst = idle.toSorted(
		(a, b) => computeMaxLayers(model, a.kind) - computeMaxLayers(model, b.kind),
	);
	const used = countByDataCentre(firstStages);
	const orders: LayerOrder[] = [];
	let candidates = smallestFirst;
	while (orders.length < count) {
		const next = pickLowest(
			candidates,
			({dataCentre}) => used.get(dataCentre) ?? 0,
		);
		if (!next) {
			break;
		}

		candidates = candidates.filter((engine) => engine !== next);
		used.set(next.dataCentre, (used.get(next.dataCentre) ?? 0) + 1);
		orders.push({
			id: next.id,
			layers: {from: 0, to: frontLayers},
			reason: 'front',
		});
	}

	return orders;
}

function countByDataCentre(
	engines: readonly EnginePlacement[],
): Map<DataCentreId, number> {
	const counts = new Map<DataCentreId, number>();
	for (const {dataCentre} of engines) {
		counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
	}

	return counts;
}

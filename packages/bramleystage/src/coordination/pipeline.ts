/**
 * Selection of a pipeline: a list of (host, layer range) pairs that covers each
 * layer of a model exactly once at the lowest expected cost. The ranges that
 * engines hold may overlap, so a stage may run only part of its engine's range.
 * The caller supplies the cost functions of stages and links.
 *
 * The search is a shortest-path search over the layers at which some range
 * begins or ends. It keeps the cheapest path to each such layer per data centre
 * of the path's last stage, because the cost of the next link depends on that
 * data centre. A path never uses a host twice: a host's range is contiguous, so
 * a path that returns to a host could have stayed on it.
 */
import {err, ok, type Result} from 'neverthrow';
import type {DataCentreId} from '../protocol/ids.js';
import type {Stage} from '../protocol/messages.js';
import type {StageCandidate} from './stage-candidates.js';

/** Expected cost in milliseconds of running `layers` layers from one on at a candidate. */
export type StageCost = (
	candidate: StageCandidate,
	layers: number,
	fromLayer: number,
) => number;

/** Expected cost in milliseconds of the link from one stage to another. */
export type LinkCost = (from: StageCandidate, to: StageCandidate) => number;

export type PipelineCosts = {
	readonly stageCost: StageCost;
	readonly linkCost: LinkCost;
};

/** Layers from `fromLayer` (inclusive) to `toLayer` (exclusive). */
export type LayerSpan = {readonly fromLayer: number; readonly toLayer: number};

export type PlannedStage = LayerSpan & {readonly candidate: StageCandidate};

export type Pipeline = {
	/** Expected cost in milliseconds according to the cost functions. */
	readonly cost: number;
	readonly stages: readonly PlannedStage[];
};

type PartialPath = LayerSpan & {
	readonly cost: number;
	readonly candidate: StageCandidate;
	readonly previous: PartialPath | undefined;
};

type PathsByDataCentre = Map<DataCentreId, PartialPath>;

/**
 * A candidate stage that starts at `fromLayer` and may end at any later
 * boundary.
 */
type Extension = {
	readonly candidate: StageCandidate;
	readonly fromLayer: number;
	readonly boundaries: readonly number[];
};

/**
 * Finds the cheapest pipeline; the error lists the layers that no candidate
 * holds.
 */
export function choosePipeline(
	candidates: readonly StageCandidate[],
	layers: number,
	costs: PipelineCosts,
): Result<Pipeline, readonly LayerSpan[]> {
	const boundaries = listBoundaries(candidates, layers);
	const pathsByLayer = new Map<number, PathsByDataCentre>();
	for (const fromLayer of boundaries) {
		const paths = pathsByLayer.get(fromLayer);
		if (fromLayer !== 0 && !paths) {
			continue;
		}

		for (const candidate of candidates) {
			extendPaths(pathsByLayer, {candidate, fromLayer, boundaries}, costs);
		}
	}

	const best = findCheapest(pathsByLayer.get(layers));
	return best
		? ok({cost: best.cost, stages: listStages(best)})
		: err(findUncoveredLayers(candidates, layers));
}

/** Lists the layers that no candidate holds. */
export function findUncoveredLayers(
	candidates: readonly StageCandidate[],
	layers: number,
): LayerSpan[] {
	const missing: LayerSpan[] = [];
	const spans = candidates
		.map(({offer}) => offer)
		.toSorted((a, b) => a.fromLayer - b.fromLayer);
	let covered = 0;
	for (const {fromLayer, toLayer} of spans) {
		if (fromLayer > covered) {
			missing.push({
				fromLayer: covered,
				toLayer: Math.min(fromLayer, layers),
			});
		}

		covered = Math.max(covered, toLayer);
		if (covered >= layers) {
			return missing.filter((span) => span.fromLayer < span.toLayer);
		}
	}

	return [...missing, {fromLayer: covered, toLayer: layers}];
}

/**
 * Formats layers for an error's detail with inclusive ends, such as `8-11,
 * 20-23`.
 */
export const formatLayers = (spans: readonly LayerSpan[]) =>
	spans.map(({fromLayer, toLayer}) => `${fromLayer}-${toLayer - 1}`).join(', ');

/** Converts a pipeline's stages to their wire format. */
export const createStages = ({stages}: Pipeline): Stage[] =>
	stages.map(({candidate, fromLayer, toLayer}) => {
		const {host, address, incarnation} = candidate.host;
		return {host, address, incarnation, fromLayer, toLayer};
	});

function listBoundaries(
	candidates: readonly StageCandidate[],
	layers: number,
): number[] {
	const boundaries = new Set([0, layers]);
	for (const {offer} of candidates) {
		boundaries.add(Math.min(offer.fromLayer, layers));
		boundaries.add(Math.min(offer.toLayer, layers));
	}

	return [...boundaries].toSorted((a, b) => a - b);
}

function extendPaths(
	pathsByLayer: Map<number, PathsByDataCentre>,
	{candidate, fromLayer, boundaries}: Extension,
	costs: PipelineCosts,
): void {
	const {offer} = candidate;
	if (offer.fromLayer > fromLayer || offer.toLayer <= fromLayer) {
		return;
	}

	const previous = findCheapestPredecessor(
		pathsByLayer.get(fromLayer),
		candidate,
		costs,
	);
	if (fromLayer !== 0 && !previous) {
		return;
	}

	const costBefore = previous?.cost ?? 0;
	const {dataCentre} = candidate.host;
	for (const toLayer of boundaries) {
		if (toLayer <= fromLayer || toLayer > offer.toLayer) {
			continue;
		}

		const cost =
			costBefore + costs.stageCost(candidate, toLayer - fromLayer, fromLayer);
		const paths = findOrCreatePaths(pathsByLayer, toLayer);
		const known = paths.get(dataCentre);
		if (known === undefined || cost < known.cost) {
			const path = previous?.path;
			paths.set(dataCentre, {
				fromLayer,
				toLayer,
				cost,
				candidate,
				previous: path,
			});
		}
	}
}

function findOrCreatePaths(
	pathsByLayer: Map<number, PathsByDataCentre>,
	layer: number,
): PathsByDataCentre {
	const known = pathsByLayer.get(layer);
	if (known) {
		return known;
	}

	const created: PathsByDataCentre = new Map();
	pathsByLayer.set(layer, created);
	return created;
}

function findCheapestPredecessor(
	paths: PathsByDataCentre | undefined,
	candidate: StageCandidate,
	{linkCost}: PipelineCosts,
): {path: PartialPath; cost: number} | undefined {
	let best: PartialPath | undefined;
	let leastCost = Infinity;
	for (const path of paths?.values() ?? []) {
		const cost = path.cost + linkCost(path.candidate, candidate);
		if (cost < leastCost && !hasHost(path, candidate)) {
			best = path;
			leastCost = cost;
		}
	}

	return best && {path: best, cost: leastCost};
}

function hasHost(path: PartialPath, {host}: StageCandidate): boolean {
	let current: PartialPath | undefined = path;
	while (current) {
		if (current.candidate.host.host === host.host) {
			return true;
		}

		current = current.previous;
	}

	return false;
}

function findCheapest(
	paths: PathsByDataCentre | undefined,
): PartialPath | undefined {
	let best: PartialPath | undefined;
	for (const path of paths?.values() ?? []) {
		if (!best || path.cost < best.cost) {
			best = path;
		}
	}

	return best;
}

function listStages(last: PartialPath): PlannedStage[] {
	const stages: PlannedStage[] = [];
	let path: PartialPath | undefined = last;
	while (path) {
		const {candidate, fromLayer, toLayer} = path;
		stages.unshift({candidate, fromLayer, toLayer});
		path = path.previous;
	}

	return stages;
}

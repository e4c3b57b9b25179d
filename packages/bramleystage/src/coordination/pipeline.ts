/**
 * Choice of a pipeline: a list of (host, layer range) that covers the layers of
 * a model exactly, at the least expected cost. Engines hold ranges that need
 * not line up, so a stage may run part of what its engine holds. The cost of a
 * stage and of a link are functions passed in.
 *
 * The search is a shortest path over the layers where some range begins or
 * ends. It keeps the best path to each such layer for each data centre that
 * the path may stand in, since the cost of the next link depends on it. A host
 * is never used twice on a path: its range has no gap, so a path that comes
 * back to a host could have stayed there.
 */
import {err, ok, type Result} from 'neverthrow';
import type {DataCentreId} from '../protocol/ids.js';
import type {Stage} from '../protocol/messages.js';
import type {StageCandidate} from './candidates.js';

/** Expected cost in milliseconds of running `layers` layers at a candidate. */
export type StageCost = (candidate: StageCandidate, layers: number) => number;

/** Expected cost in milliseconds of the link from one stage to another. */
export type LinkCost = (from: StageCandidate, to: StageCandidate) => number;

export type PipelineCosts = {
	readonly stageCost: StageCost;
	readonly linkCost: LinkCost;
};

/** Layers from (inclusive) to (exclusive). */
export type LayerSpan = {readonly fromLayer: number; readonly toLayer: number};

export type PlannedStage = LayerSpan & {readonly candidate: StageCandidate};

export type Pipeline = {
	/** Expected cost in milliseconds, as the given functions count it. */
	readonly cost: number;
	readonly stages: readonly PlannedStage[];
};

type Path = LayerSpan & {
	readonly cost: number;
	readonly candidate: StageCandidate;
	readonly previous: Path | undefined;
};

type Reached = Map<DataCentreId, Path>;

/** A candidate that may run layers from `fromLayer` up to later boundaries. */
type Extension = {
	readonly candidate: StageCandidate;
	readonly fromLayer: number;
	readonly boundaries: readonly number[];
};

/** Finds the cheapest pipeline; the error lists the layers that nobody holds. */
export function choosePipeline(
	candidates: readonly StageCandidate[],
	layers: number,
	costs: PipelineCosts,
): Result<Pipeline, readonly LayerSpan[]> {
	const boundaries = listBoundaries(candidates, layers);
	const reached = new Map<number, Reached>();
	for (const fromLayer of boundaries) {
		const paths = reached.get(fromLayer);
		if (fromLayer !== 0 && !paths) {
			continue;
		}

		for (const candidate of candidates) {
			extendPaths(reached, {candidate, fromLayer, boundaries}, costs);
		}
	}

	const best = findCheapest(reached.get(layers));
	return best
		? ok({cost: best.cost, stages: listStages(best)})
		: err(findMissingLayers(candidates, layers));
}

/** Lists the layers that no candidate holds. */
export function findMissingLayers(
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

/** Formats layers for an error's detail, such as `8-11, 20-23`. */
export const formatLayers = (spans: readonly LayerSpan[]) =>
	spans.map(({fromLayer, toLayer}) => `${fromLayer}-${toLayer - 1}`).join(', ');

/** Describes a pipeline's stages as messages carry them. */
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
	reached: Map<number, Reached>,
	{candidate, fromLayer, boundaries}: Extension,
	costs: PipelineCosts,
): void {
	const {offer} = candidate;
	if (offer.fromLayer > fromLayer || offer.toLayer <= fromLayer) {
		return;
	}

	const previous = findPrevious(reached.get(fromLayer), candidate, costs);
	if (fromLayer !== 0 && !previous) {
		return;
	}

	const before = previous?.cost ?? 0;
	const {dataCentre} = candidate.host;
	for (const toLayer of boundaries) {
		if (toLayer <= fromLayer || toLayer > offer.toLayer) {
			continue;
		}

		const cost = before + costs.stageCost(candidate, toLayer - fromLayer);
		const paths = findReached(reached, toLayer);
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

function findReached(reached: Map<number, Reached>, layer: number): Reached {
	const known = reached.get(layer);
	if (known) {
		return known;
	}

	const created: Reached = new Map();
	reached.set(layer, created);
	return created;
}

function findPrevious(
	paths: Reached | undefined,
	candidate: StageCandidate,
	{linkCost}: PipelineCosts,
): {path: Path; cost: number} | undefined {
	let best: Path | undefined;
	let least = Infinity;
	for (const path of paths?.values() ?? []) {
		const cost = path.cost + linkCost(path.candidate, candidate);
		if (cost < least && !hasHost(path, candidate)) {
			best = path;
			least = cost;
		}
	}

	return best && {path: best, cost: least};
}

function hasHost(path: Path, {host}: StageCandidate): boolean {
	let visited: Path | undefined = path;
	while (visited) {
		if (visited.candidate.host.host === host.host) {
			return true;
		}

		visited = visited.previous;
	}

	return false;
}

function findCheapest(paths: Reached | undefined): Path | undefined {
	let best: Path | undefined;
	for (const path of paths?.values() ?? []) {
		if (!best || path.cost < best.cost) {
			best = path;
		}
	}

	return best;
}

function listStages(last: Path): PlannedStage[] {
	const stages: PlannedStage[] = [];
	let path: Path | undefined = last;
	while (path) {
		const {candidate, fromLayer, toLayer} = path;
		stages.unshift({candidate, fromLayer, toLayer});
		path = path.previous;
	}

	return stages;
}

/**
 * Choice of a pipeline: a list of (host, layer range) that covers the layers of
 * a model exactly, at the least expected cost. Engines hold ranges that need
 * not line up, so a stage may run part of what its engine holds. The cost of a
 * stage and of a link are functions passed in.
 */
import type {ModelName} from '../protocol/ids.js';
import type {LayersOffer, Stage} from '../protocol/messages.js';
import type {ConnectedHost} from '../state/hosts.js';

/** A host with the range of layers that it holds of one model. */
export type StageCandidate = {
	readonly host: ConnectedHost;
	readonly offer: LayersOffer;
};

/** Expected time in milliseconds to run `layers` layers at a candidate. */
export type StageCost = (candidate: StageCandidate, layers: number) => number;

/** Expected time in milliseconds to cross from one stage to the next. */
export type LinkCost = (from: StageCandidate, to: StageCandidate) => number;

export type PipelineCosts = {
	readonly stageCost: StageCost;
	readonly linkCost: LinkCost;
};

export type PipelineRequest = {
	readonly model: ModelName;
	readonly version: string;
	readonly layers: number;
};

type Path = {
	readonly cost: number;
	readonly stages: ReadonlyArray<{
		readonly candidate: StageCandidate;
		readonly fromLayer: number;
		readonly toLayer: number;
	}>;
};

/** Lists the hosts that hold some layers of a model's version. */
export function listCandidates(
	hosts: readonly ConnectedHost[],
	{model, version}: PipelineRequest,
): StageCandidate[] {
	return hosts.flatMap((host) =>
		host.offers
			.filter((offer) => offer.kind === 'layers')
			.filter((offer) => offer.model === model && offer.version === version)
			.map((offer) => ({host, offer})),
	);
}

/** Finds the cheapest pipeline, or nothing when the candidates leave a gap. */
export function choosePipeline(
	candidates: readonly StageCandidate[],
	layers: number,
	costs: PipelineCosts,
): Stage[] | undefined {
	const boundaries = listBoundaries(candidates, layers);
	const best = new Map<number, Path>([[0, {cost: 0, stages: []}]]);
	for (const fromLayer of boundaries) {
		const path = best.get(fromLayer);
		if (!path) {
			continue;
		}

		for (const candidate of candidates) {
			for (const toLayer of listEnds(path, candidate, fromLayer, boundaries)) {
				const range = {fromLayer, toLayer};
				const extended = addStage(path, candidate, range, costs);
				if (extended.cost < (best.get(toLayer)?.cost ?? Infinity)) {
					best.set(toLayer, extended);
				}
			}
		}
	}

	return best.get(layers)?.stages.map((stage) => createStage(stage));
}

function listBoundaries(
	candidates: readonly StageCandidate[],
	layers: number,
): number[] {
	const boundaries = new Set([0, layers]);
	for (const {offer} of candidates) {
		boundaries.add(offer.fromLayer);
		boundaries.add(Math.min(offer.toLayer, layers));
	}

	return [...boundaries].toSorted((a, b) => a - b);
}

function listEnds(
	path: Path,
	{host, offer}: StageCandidate,
	fromLayer: number,
	boundaries: readonly number[],
): number[] {
	const holds = offer.fromLayer <= fromLayer && fromLayer < offer.toLayer;
	const isUsed = path.stages.some(
		(stage) => stage.candidate.host.host === host.host,
	);
	if (!holds || isUsed) {
		return [];
	}

	return boundaries.filter(
		(toLayer) => toLayer > fromLayer && toLayer <= offer.toLayer,
	);
}

function addStage(
	path: Path,
	candidate: StageCandidate,
	range: {fromLayer: number; toLayer: number},
	costs: PipelineCosts,
): Path {
	const last = path.stages.at(-1);
	const link = last ? costs.linkCost(last.candidate, candidate) : 0;
	const stage = costs.stageCost(candidate, range.toLayer - range.fromLayer);
	return {
		cost: path.cost + link + stage,
		stages: [...path.stages, {candidate, ...range}],
	};
}

function createStage(stage: Path['stages'][number]): Stage {
	const {host, address, incarnation} = stage.candidate.host;
	const {fromLayer, toLayer} = stage;
	return {host, address, incarnation, fromLayer, toLayer};
}

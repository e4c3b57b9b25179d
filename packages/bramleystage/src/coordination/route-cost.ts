/**
 * Cost model of pipelines. A stage costs its own service time plus the delay
 * that it adds to the work already queued at the host, which grows with the
 * backlog. Under load, work therefore moves to the hosts where another
 * layer-token adds the least delay, also between engines whose layer ranges
 * overlap only in part, so that load is spread in proportion to the engines'
 * rates. A layer-token is one token processed by one layer. Prefill that a
 * host's prefix cache spares is deducted as far as it exceeds the additional
 * wait there.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {HostId} from '../protocol/ids.js';
import type {LoadEstimate} from '../state/load-tracker.js';
import type {StageCandidate} from './stage-candidates.js';
import type {LayerSpan, LinkCost, PipelineCosts} from './pipeline.js';
import {computeNetSaving} from './prefix-savings.js';

/** The size of a request, in tokens. */
export type RequestShape = {
	readonly promptTokens: number;
	/** Expected number of tokens of the answer. */
	readonly answerTokens: number;
};

/** Estimates a host's load; `claimedRate` is the rate that the host advertises. */
export type EstimateLoad = (
	host: HostId,
	claimedRate: number,
	now: Milliseconds,
) => LoadEstimate;

/** Estimates how many tokens of the prompt a candidate keeps for a span of layers. */
export type EstimateCachedTokens = (
	candidate: StageCandidate,
	span: LayerSpan,
) => number;

/** What is known of prefix caches for one routing decision. */
export type PrefixEstimates = {
	readonly estimateCachedTokens: EstimateCachedTokens;
	/** All candidates, with whose wait that of a holder is compared. */
	readonly candidates: readonly StageCandidate[];
	readonly hasRoom: (host: HostId) => boolean;
	/** Wait at a host that its load does not include yet. */
	readonly estimateUnseenWaitMs: (host: HostId) => Milliseconds;
};

export type RouteCostOptions = {
	readonly estimateLoad: EstimateLoad;
	/** One-way latency of the link between two hosts, in milliseconds. */
	readonly linkMs: LinkCost;
	/** Absent if nothing is known of prefix caches. */
	readonly prefixes?: PrefixEstimates;
};

/** Costs of a candidate in milliseconds: per layer, and once per stage. */
type CandidateCost = {
	readonly layerMs: number;
	readonly stageMs: number;
	/** Prefill time of a token in a layer. */
	readonly prefillMs: number;
	/** Time until a new step at the host ends, apart from its own work. */
	readonly waitMs: number;
};

const msPerSecond = 1000;
/**
 * Cost in milliseconds that each millisecond of backlog adds to a layer-token.
 * It is the same for all kinds of engine, so that backlogs even out in time
 * rather than in work and every engine has enough work to stay busy.
 */
const congestionFactor = 0.0001;
/** Fixed time of a step at a stage, apart from its layers, in milliseconds. */
const minStepMs = 1;
/** The step time above this counts as the cost of a slow host, in milliseconds. */
const normalStepMs = 250;

/** Computes the layer-tokens that a stage of `layers` layers runs for a request. */
export const computeStageWork = (
	{promptTokens, answerTokens}: RequestShape,
	layers: number,
) => (promptTokens + answerTokens) * layers;

/** Creates the cost functions of one routing decision. Costs per candidate are cached. */
export function createRouteCosts(
	shape: RequestShape,
	{estimateLoad, linkMs, prefixes}: RouteCostOptions,
	now: Milliseconds,
): PipelineCosts {
	const steps = Math.max(1, shape.answerTokens);
	const costs = new Map<StageCandidate, CandidateCost>();
	const computeCost = ({host, offer}: StageCandidate): CandidateCost => {
		const {layerTokensPerSecond} = offer;
		const load = estimateLoad(host.host, layerTokensPerSecond, now);
		const {backlog, rate, stepMs} = load;
		const backlogMs = (backlog * msPerSecond) / rate;
		const tokenMs = msPerSecond / rate + backlogMs * congestionFactor;
		const slowMs = Math.max(0, stepMs - normalStepMs);
		return {
			layerMs: computeStageWork(shape, 1) * tokenMs,
			stageMs: steps * (minStepMs + slowMs),
			prefillMs: msPerSecond / rate,
			waitMs:
				backlogMs + stepMs + (prefixes?.estimateUnseenWaitMs(host.host) ?? 0),
		};
	};

	const findCost = (candidate: StageCandidate): CandidateCost => {
		const cached = costs.get(candidate);
		if (cached) {
			return cached;
		}

		const computed = computeCost(candidate);
		costs.set(candidate, computed);
		return computed;
	};

	const computeSaving = (candidate: StageCandidate, span: LayerSpan) => {
		const cachedTokens = prefixes?.estimateCachedTokens(candidate, span) ?? 0;
		if (!prefixes || cachedTokens <= 0) {
			return 0;
		}

		const {prefillMs, waitMs} = findCost(candidate);
		// At least one token is computed for the first output.
		const tokens = Math.min(cachedTokens, shape.promptTokens - 1);
		const waits = prefixes.candidates
			.filter((other) => hasLayers(other, span))
			.map((other) => findCost(other).waitMs);
		return computeNetSaving({
			savedMs: tokens * countLayers(span) * prefillMs,
			waitMs,
			leastWaitMs: Math.min(waitMs, ...waits),
			hasRoom: prefixes.hasRoom(candidate.host.host),
		});
	};

	return {
		stageCost(candidate, layers, fromLayer) {
			const {layerMs, stageMs} = findCost(candidate);
			const span = {fromLayer, toLayer: fromLayer + layers};
			return layers * layerMs + stageMs - computeSaving(candidate, span);
		},
		linkCost: (from, to) => steps * linkMs(from, to),
	};
}

const countLayers = ({fromLayer, toLayer}: LayerSpan) => toLayer - fromLayer;

const hasLayers = ({offer}: StageCandidate, {fromLayer, toLayer}: LayerSpan) =>
	offer.fromLayer <= fromLayer && offer.toLayer >= toLayer;

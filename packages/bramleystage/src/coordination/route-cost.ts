/**
 * The cost policy of pipelines. A stage costs its own service time, and the
 * delay that it brings to the work already there, which grows with the backlog.
 * So under load work moves to where
 * the next layer-token delays least, also between engines whose ranges overlap
 * only in part, and the load follows the rates of the engines.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {HostId} from '../protocol/ids.js';
import type {LoadEstimate} from '../state/load.js';
import type {StageCandidate} from './candidates.js';
import type {LinkCost, PipelineCosts} from './pipeline.js';

/** What a request asks of its pipeline. */
export type RequestShape = {
	readonly promptTokens: number;
	/** Expected tokens of the answer. */
	readonly answerTokens: number;
};

export type EstimateLoad = (
	host: HostId,
	claimedRate: number,
	now: Milliseconds,
) => LoadEstimate;

/** Tokens of the prompt that a host probably has in its prefix cache. */
export type EstimateCached = (host: HostId) => number;

export type RouteCostOptions = {
	readonly estimateLoad: EstimateLoad;
	/** One-way time of the link between two hosts, in milliseconds. */
	readonly linkMs: LinkCost;
	readonly estimateCached?: EstimateCached;
};

/** Costs of a candidate in milliseconds: for each layer, and for being a stage. */
type StagePrice = {readonly layerMs: number; readonly stageMs: number};

const msPerSecond = 1000;
/**
 * Cost in milliseconds of a layer-token for each millisecond of backlog. It is
 * the same for all kinds of engine, so that their backlogs even out in time,
 * not in work: each then has enough to stay busy.
 */
const congestionPrice = 0.0001;
/** Least time of a step at a stage besides its layers, in milliseconds. */
const leastStepMs = 1;
/** A step that takes longer than this tells of a slow host, in milliseconds. */
const ordinaryStepMs = 250;

/** Layer-tokens that a stage of `layers` layers runs for a request. */
export const computeStageWork = (
	{promptTokens, answerTokens}: RequestShape,
	layers: number,
) => (promptTokens + answerTokens) * layers;

/** Creates the costs of one decision. */
export function createRouteCosts(
	shape: RequestShape,
	{estimateLoad, linkMs, estimateCached}: RouteCostOptions,
	now: Milliseconds,
): PipelineCosts {
	const steps = Math.max(1, shape.answerTokens);
	const prices = new Map<StageCandidate, StagePrice>();
	const computePrice = ({host, offer}: StageCandidate): StagePrice => {
		const {layerTokensPerSecond} = offer;
		const load = estimateLoad(host.host, layerTokensPerSecond, now);
		const {backlog, rate, stepMs} = load;
		const cached = estimateCached?.(host.host) ?? 0;
		const promptTokens = Math.max(1, shape.promptTokens - cached);
		const backlogMs = (backlog * msPerSecond) / rate;
		const tokenMs = msPerSecond / rate + backlogMs * congestionPrice;
		const slowMs = Math.max(0, stepMs - ordinaryStepMs);
		return {
			layerMs: computeStageWork({...shape, promptTokens}, 1) * tokenMs,
			stageMs: steps * (leastStepMs + slowMs),
		};
	};

	const findPrice = (candidate: StageCandidate): StagePrice => {
		const known = prices.get(candidate);
		if (known) {
			return known;
		}

		const price = computePrice(candidate);
		prices.set(candidate, price);
		return price;
	};

	return {
		stageCost(candidate, layers) {
			const {layerMs, stageMs} = findPrice(candidate);
			return layers * layerMs + stageMs;
		},
		linkCost: (from, to) => steps * linkMs(from, to),
	};
}

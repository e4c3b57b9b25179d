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
	const loads = new Map<HostId, LoadEstimate>();
	const findLoad = ({host, offer}: StageCandidate): LoadEstimate => {
		const known = loads.get(host.host);
		if (known) {
			return known;
		}

		const load = estimateLoad(host.host, offer.layerTokensPerSecond, now);
		loads.set(host.host, load);
		return load;
	};

	return {
		stageCost(candidate, layers) {
			const {backlog, rate, stepMs} = findLoad(candidate);
			const cached = estimateCached?.(candidate.host.host) ?? 0;
			const promptTokens = Math.max(1, shape.promptTokens - cached);
			const work = computeStageWork({...shape, promptTokens}, layers);
			const serviceMs = (work * msPerSecond) / rate;
			const backlogMs = (backlog * msPerSecond) / rate;
			const congestionMs = work * backlogMs * congestionPrice;
			const slowMs = Math.max(0, stepMs - ordinaryStepMs);
			return serviceMs + congestionMs + steps * (leastStepMs + slowMs);
		},
		linkCost: (from, to) => steps * linkMs(from, to),
	};
}

/** Use of the known prompt prefixes in one routing decision. */
import {
	type CandidateGroup,
	computeStageWork,
	type FindUsableHost,
	listStageBlocks,
	type Milliseconds,
	type PlannedStage,
	type PrefixBlocks,
	type PrefixEstimates,
	type PrefixSavings,
	type RequestShape,
	type StageCandidate,
} from 'bramleystage';

const msPerSecond = 1000;

/** The drawn candidates of a decision, and the groups that they are drawn from. */
export type DrawnCandidates = {
	readonly groups: readonly CandidateGroup[];
	readonly drawn: readonly StageCandidate[];
	readonly findUsable: FindUsableHost;
};

/** Lists usable holders of the prompt's longest known prefix that were not drawn. */
export function listHolders(
	prefixes: PrefixSavings,
	prefix: PrefixBlocks | undefined,
	{groups, drawn, findUsable}: DrawnCandidates,
): StageCandidate[] {
	if (!prefix || prefix.length === 0) {
		return [];
	}

	const drawnHosts = new Set(drawn.map(({host}) => host.host));
	return groups.flatMap((group) => {
		const offer = group[0]?.offer;
		const hosts = offer
			? prefixes.listHolders(listStageBlocks(prefix, offer))
			: [];
		return hosts
			.filter((host) => !drawnHosts.has(host))
			.flatMap((host) => {
				const known = group.find((each) => each.host.host === host);
				const usable = findUsable(host);
				return known && usable ? [{host: usable, offer: known.offer}] : [];
			});
	});
}

/** Creates what the cost functions of a decision need to know of prefix caches. */
export function createPrefixEstimates(
	prefixes: PrefixSavings,
	{
		prefix,
		candidates,
		entries,
	}: {
		readonly prefix: PrefixBlocks;
		readonly candidates: readonly StageCandidate[];
		/** Number of listed entries, with this one. */
		readonly entries: number;
	},
	now: Milliseconds,
): PrefixEstimates {
	const stageBlocks = new Map<string, PrefixBlocks>();
	const otherEntries = Math.max(0, entries - 1);
	return {
		candidates,
		estimateCachedTokens({host}, {fromLayer, toLayer}) {
			const key = `${fromLayer}-${toLayer}`;
			const blocks =
				stageBlocks.get(key) ?? listStageBlocks(prefix, {fromLayer, toLayer});
			stageBlocks.set(key, blocks);
			return prefixes.estimateCachedTokens(host, blocks, now);
		},
		hasRoom: (host) => prefixes.hasRoom(host),
		estimateUnseenWaitMs: (host) =>
			prefixes.estimateUnseenWaitMs(host, otherEntries),
	};
}

/**
 * Computes the layer-tokens that a prompt adds at its stage, without those
 * expected to be cached there, and records that it is sent.
 */
export function recordSentPrompt(
	prefixes: PrefixSavings,
	{
		prefix,
		...shape
	}: RequestShape & {readonly prefix?: PrefixBlocks | undefined},
	{candidate, fromLayer, toLayer}: PlannedStage,
	now: Milliseconds,
): number {
	const {host, offer} = candidate;
	const blocks = listStageBlocks(prefix ?? [], {fromLayer, toLayer});
	const cachedTokens = prefixes.estimateCachedTokens(host, blocks, now);
	const work = computeUncachedWork(shape, cachedTokens, toLayer - fromLayer);
	const workMs = (work * msPerSecond) / offer.layerTokensPerSecond;
	prefixes.recordSent(host.host, cachedTokens > 0 ? workMs : 0);
	return work;
}

/** Computes the layer-tokens of a stage without cached tokens of the prompt. */
export const computeUncachedWork = (
	{promptTokens, answerTokens}: RequestShape,
	cachedTokens: number,
	layers: number,
) =>
	computeStageWork(
		{promptTokens: Math.max(1, promptTokens - cachedTokens), answerTokens},
		layers,
	);

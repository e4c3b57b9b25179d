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

/** Records that the stages of a pipeline are sent a prompt. */
export function recordSentPrompt(
	prefixes: PrefixSavings,
	{
		prefix,
		...shape
	}: RequestShape & {readonly prefix?: PrefixBlocks | undefined},
	stages: readonly PlannedStage[],
	now: Milliseconds,
): void {
	for (const {candidate, fromLayer, toLayer} of stages) {
		const {host, offer} = candidate;
		const blocks = listStageBlocks(prefix ?? [], {fromLayer, toLayer});
		const isHolder = prefixes.estimateHeldTokens(host, blocks, now) > 0;
		const work = computeStageWork(shape, toLayer - fromLayer);
		const workMs = (work * msPerSecond) / offer.layerTokensPerSecond;
		prefixes.recordSent(host.host, isHolder ? workMs : 0);
	}
}

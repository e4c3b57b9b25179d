/**
 * Candidate hosts for the stages of a pipeline, grouped by the layer range that
 * they hold. A routing decision draws a few hosts from each group, so its time
 * doesn't grow with the number of hosts. Since every range is represented, the
 * drawn hosts cover the same layers as all hosts do.
 */
import type {HostId, ModelName} from '../protocol/ids.js';
import type {LayersOffer} from '../protocol/messages.js';
import type {ConnectedHost} from '../state/hosts.js';

/** A host and the layer range of a model that it offers. */
export type StageCandidate = {
	readonly host: ConnectedHost;
	readonly offer: LayersOffer;
};

/** Candidates that hold the same range of layers. */
export type CandidateGroup = readonly StageCandidate[];

/** The model version that a pipeline is to run, and its number of layers. */
export type PipelineRequest = {
	readonly model: ModelName;
	readonly version: string;
	readonly layers: number;
};

/** Draws an integer from 0 (inclusive) to `bound` (exclusive). */
export type DrawIndex = (bound: number) => number;

/** Returns the current state of a host, or undefined if it must not be given work. */
export type FindUsableHost = (host: HostId) => ConnectedHost | undefined;

/**
 * Random draws per requested host of a group. If they yield no usable host, the
 * whole group is searched.
 */
const maxDrawsPerChoice = 3;

/** Lists the hosts that hold some layers of a model's version. */
export function listCandidates(
	hosts: readonly ConnectedHost[],
	{model, version}: Pick<PipelineRequest, 'model' | 'version'>,
): StageCandidate[] {
	return hosts.flatMap((host) =>
		host.offers
			.filter((offer) => offer.kind === 'layers')
			.filter((offer) => offer.model === model && offer.version === version)
			.filter((offer) => offer.fromLayer < offer.toLayer)
			.map((offer) => ({host, offer})),
	);
}

/** Groups candidates by the range that they hold. */
export function buildCandidateGroups(
	candidates: readonly StageCandidate[],
): CandidateGroup[] {
	const groups = new Map<string, StageCandidate[]>();
	for (const candidate of candidates) {
		const {fromLayer, toLayer} = candidate.offer;
		const key = `${fromLayer}-${toLayer}`;
		const group = groups.get(key);
		if (group) {
			group.push(candidate);
		} else {
			groups.set(key, [candidate]);
		}
	}

	return [...groups.values()];
}

/** Draws up to `choices` usable hosts of each group. */
export function selectCandidates(
	groups: readonly CandidateGroup[],
	choices: number,
	findUsable: FindUsableHost,
	drawIndex: DrawIndex,
): StageCandidate[] {
	const selected: StageCandidate[] = [];
	for (const group of groups) {
		if (group.length <= choices) {
			addUsable(selected, group, findUsable);
			continue;
		}

		const drawn = drawDistinct(group, choices, findUsable, drawIndex);
		if (drawn.length === 0) {
			addUsable(selected, group, findUsable);
		} else {
			selected.push(...drawn);
		}
	}

	return selected;
}

function addUsable(
	selected: StageCandidate[],
	group: CandidateGroup,
	findUsable: FindUsableHost,
): void {
	for (const {host, offer} of group) {
		const usable = findUsable(host.host);
		if (usable) {
			selected.push({host: usable, offer});
		}
	}
}

function drawDistinct(
	group: CandidateGroup,
	choices: number,
	findUsable: FindUsableHost,
	drawIndex: DrawIndex,
): StageCandidate[] {
	const drawn: StageCandidate[] = [];
	const seen = new Set<number>();
	for (let draw = 0; draw < choices * maxDrawsPerChoice; draw++) {
		const index = drawIndex(group.length);
		const candidate = group[index];
		if (!candidate || seen.has(index)) {
			continue;
		}

		seen.add(index);
		const usable = findUsable(candidate.host.host);
		if (usable) {
			drawn.push({host: usable, offer: candidate.offer});
		}

		if (drawn.length === choices) {
			break;
		}
	}

	return drawn;
}

/**
 * Routing decisions of the entry: the pipeline stages of a model request and the
 * agent of a service call.
 */
import {
	type CandidateGroup,
	choosePipeline,
	type ConnectedHost,
	createFailure,
	createRouteCosts,
	createStages,
	type DrawIndex,
	type Failure,
	formatLayers,
	buildCandidateGroups,
	type HostId,
	type HostsSnapshot,
	listAvailableHosts,
	listCandidates,
	LoadTracker,
	type Milliseconds,
	type ModelName,
	type Pipeline,
	type PipelineCosts,
	type PrefixBlocks,
	PrefixSavings,
	type RequestShape,
	selectCandidates,
	type ServiceName,
	type Stage,
	type StageCandidate,
	type DispatchTarget,
} from 'bramleystage';
import type {Result} from 'neverthrow';
import type {AgentNetworkEvent} from './agent-network.js';
import {
	createPrefixEstimates,
	listHolders,
	recordSentPrompt,
} from './prefix-routing.js';

/** Model, version and size of a model request to route. */
export type RouteRequest = RequestShape & {
	readonly model: ModelName;
	readonly version: string;
	readonly layers: number;
	/** Leading blocks of the prompt; absent if prefix caches are not considered. */
	readonly prefix?: PrefixBlocks | undefined;
};

export type RouterOptions = {
	readonly drawIndex: DrawIndex;
	/** Number of candidate hosts compared for each layer range. */
	readonly candidatesPerRange: number;
};

/** Cached candidates of one model version, grouped by layer range. */
type CandidateIndex = {
	readonly builtAt: Milliseconds;
	readonly groups: readonly CandidateGroup[];
};

/**
 * Maximum age of a candidate index; bounds the delay until a new host gets
 * work.
 */
const maxIndexAgeMs = 100;
const sameDataCentreLinkMs = 0.05;
const otherDataCentreLinkMs = 0.5;

/** Chooses pipelines and service agents, and tracks the load sent to each host. */
export class Router {
	readonly loads = new LoadTracker();
	readonly prefixes = new PrefixSavings();
	readonly #indexes = new Map<string, CandidateIndex>();
	#uncoveredChoices = 0;

	constructor(private readonly options: RouterOptions) {}

	/** Number of pipeline choices that failed because of uncovered layers. */
	get uncoveredChoices(): number {
		return this.#uncoveredChoices;
	}

	/** Describes the router's state for `/dump`. */
	describe(now: Milliseconds): Record<string, unknown> {
		const groups = [...this.#indexes].map(([key, index]) => [
			key,
			{ranges: index.groups.length, ageMs: now - index.builtAt},
		]);
		return {
			hosts: this.loads.size,
			uncovered: this.#uncoveredChoices,
			models: Object.fromEntries(groups),
			prefixes: this.prefixes.describe(now),
		};
	}

	/** Records the load that a host reported. */
	recordReport(connected: ConnectedHost, now: Milliseconds): void {
		const {host, load, offers, prefixes} = connected;
		this.prefixes.recordReport(connected, prefixes, now);
		this.loads.recordReport(host, load, findOfferedTokenRate(offers), now);
	}

	/**
	 * Removes the load of a host whose session ended, and the prefixes of one that
	 * is unreachable.
	 */
	receive(event: AgentNetworkEvent): void {
		if (event.type === 'lost') {
			this.loads.remove(event.host.host);
		} else if (event.type === 'unreachable') {
			this.prefixes.remove(event.host.host);
		}
	}

	/**
	 * Chooses a pipeline among the hosts that are not excluded. If the cached index
	 * leaves layers uncovered, rebuilds it and tries once more.
	 */
	chooseStages(
		hosts: HostsSnapshot,
		request: RouteRequest,
		excluding: readonly HostId[],
		now: Milliseconds,
	): Result<readonly Stage[], Failure> {
		const {layers} = request;
		const findUsable = (host: HostId) =>
			excluding.includes(host) ? undefined : findAvailableHost(hosts, host);
		const chooseAmong = (groups: readonly CandidateGroup[]) => {
			const {candidatesPerRange, drawIndex} = this.options;
			const drawn = selectCandidates(
				groups,
				candidatesPerRange,
				findUsable,
				drawIndex,
			);
			const candidates = [
				...drawn,
				...listHolders(this.prefixes, request.prefix, {
					groups,
					drawn,
					findUsable,
				}),
			];
			return choosePipeline(
				candidates,
				layers,
				this.#createCosts(hosts, request, candidates, now),
			);
		};

		return chooseAmong(this.#findGroups(hosts, request, now))
			.orElse(() => chooseAmong(this.#buildGroups(hosts, request, now)))
			.map((pipeline) => this.#recordSent(request, pipeline, now))
			.mapErr((missing) => {
				this.#uncoveredChoices++;
				return createFailure(
					'noPipeline',
					`No live engine holds layers ${formatLayers(missing)}.`,
					{retryAfterSeconds: 1},
				);
			});
	}

	/**
	 * Chooses the least loaded agent that offers a service; ties are broken at
	 * random.
	 */
	chooseTarget(
		hosts: HostsSnapshot,
		service: ServiceName,
		excluding: readonly HostId[],
		now: Milliseconds,
	): DispatchTarget | undefined {
		const candidates = listAvailableHosts(hosts).filter(
			({host, offers}) =>
				!excluding.includes(host) &&
				offers.some(
					(offer) => offer.kind === 'service' && offer.service === service,
				),
		);
		const measureLoad = ({host, share = 1}: ConnectedHost) =>
			(1 + this.loads.estimate(host, 1, now).backlog) / share;
		const offset = this.options.drawIndex(Math.max(1, candidates.length));
		const [leastLoaded] = [
			...candidates.slice(offset),
			...candidates.slice(0, offset),
		].toSorted((a, b) => measureLoad(a) - measureLoad(b));
		if (leastLoaded) {
			this.loads.recordSent(leastLoaded.host, 1, now);
		}

		return leastLoaded;
	}

	#createCosts(
		hosts: HostsSnapshot,
		request: RouteRequest,
		candidates: readonly StageCandidate[],
		now: Milliseconds,
	): PipelineCosts {
		const {prefix} = request;
		return createRouteCosts(
			request,
			{
				estimateLoad: (...load) => this.loads.estimate(...load),
				linkMs: estimateLinkMs,
				...(prefix && {
					prefixes: createPrefixEstimates(
						this.prefixes,
						{prefix, candidates, entries: countEntries(hosts)},
						now,
					),
				}),
			},
			now,
		);
	}

	#recordSent(
		request: RouteRequest,
		pipeline: Pipeline,
		now: Milliseconds,
	): readonly Stage[] {
		for (const stage of pipeline.stages) {
			const work = recordSentPrompt(this.prefixes, request, stage, now);
			this.loads.recordSent(stage.candidate.host.host, work, now);
		}

		return createStages(pipeline);
	}

	#findGroups(
		hosts: HostsSnapshot,
		request: RouteRequest,
		now: Milliseconds,
	): readonly CandidateGroup[] {
		const index = this.#indexes.get(formatIndexKey(request));
		return index && now - index.builtAt < maxIndexAgeMs
			? index.groups
			: this.#buildGroups(hosts, request, now);
	}

	#buildGroups(
		hosts: HostsSnapshot,
		request: RouteRequest,
		now: Milliseconds,
	): readonly CandidateGroup[] {
		const candidates = listCandidates(listAvailableHosts(hosts), request);
		const groups = buildCandidateGroups(candidates);
		this.#indexes.set(formatIndexKey(request), {builtAt: now, groups});
		return groups;
	}
}

/** Counts of entries by host list, which is replaced as a whole. */
const entryCounts = new WeakMap<HostsSnapshot['listed'], number>();

function countEntries({listed}: HostsSnapshot): number {
	const known = entryCounts.get(listed);
	if (known !== undefined) {
		return known;
	}

	let entries = 0;
	for (const {role} of listed.values()) {
		entries += Number(role === 'entry');
	}

	entryCounts.set(listed, entries);
	return entries;
}

const formatIndexKey = ({model, version}: RouteRequest) =>
	`${model}/${version}`;

function findAvailableHost(
	hosts: HostsSnapshot,
	id: HostId,
): ConnectedHost | undefined {
	const host = hosts.connected.get(id);
	const isDraining =
		host?.leaving === true || hosts.listed.get(id)?.state === 'leaving';
	return isDraining ? undefined : host;
}

function findOfferedTokenRate(offers: ConnectedHost['offers']): number {
	const offer = offers.find(({kind}) => kind === 'layers');
	return offer?.kind === 'layers' ? offer.layerTokensPerSecond : 0;
}

const estimateLinkMs = (from: StageCandidate, to: StageCandidate) =>
	from.host.dataCentre === to.host.dataCentre
		? sameDataCentreLinkMs
		: otherDataCentreLinkMs;

/** The entry's routing: which stages or which agent a request goes to. */
import {
	type CandidateGroup,
	choosePipeline,
	computeStageWork,
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
	type RequestShape,
	selectCandidates,
	type ServiceName,
	type Stage,
	type StageCandidate,
	type DispatchTarget,
} from 'bramleystage';
import type {Result} from 'neverthrow';
import type {NetworkEvent} from './network.js';

/** What a model request asks of the routing. */
export type RouteRequest = RequestShape & {
	readonly model: ModelName;
	readonly version: string;
	readonly layers: number;
};

export type RouterOptions = {
	readonly drawIndex: DrawIndex;
	/** Hosts of each range that a decision weighs. */
	readonly choices: number;
};

type Index = {
	readonly builtAt: Milliseconds;
	readonly groups: readonly CandidateGroup[];
};

/** A new host gets work after at most this long, in milliseconds. */
const indexLifeMs = 100;
const sameDataCentreMs = 0.05;
const otherDataCentreMs = 0.5;

/** Chooses pipelines and service targets, and keeps the load that it sent. */
export class Router {
	readonly loads = new LoadTracker();
	readonly #indexes = new Map<string, Index>();
	#uncovered = 0;

	constructor(private readonly options: RouterOptions) {}

	/** Choices that found layers that no live engine holds. */
	get uncovered(): number {
		return this.#uncovered;
	}

	/** Describes the held state, for the dump. */
	describe(now: Milliseconds): Record<string, unknown> {
		const groups = [...this.#indexes].map(([key, index]) => [
			key,
			{ranges: index.groups.length, ageMs: now - index.builtAt},
		]);
		return {
			hosts: this.loads.size,
			uncovered: this.#uncovered,
			models: Object.fromEntries(groups),
		};
	}

	/** Takes the load that a host reported. */
	recordReport({host, load, offers}: ConnectedHost, now: Milliseconds): void {
		this.loads.recordReport(host, load, findClaimedRate(offers), now);
	}

	/** Forgets the load of a host that is lost. */
	receive(event: NetworkEvent): void {
		if (event.type === 'lost') {
			this.loads.remove(event.host.host);
		}
	}

	/** Chooses a pipeline among the hosts that were not excluded. */
	chooseStages(
		hosts: HostsSnapshot,
		request: RouteRequest,
		excluding: readonly HostId[],
		now: Milliseconds,
	): Result<readonly Stage[], Failure> {
		const {layers} = request;
		const findUsable = (host: HostId) =>
			excluding.includes(host) ? undefined : findAvailable(hosts, host);
		const costs = createRouteCosts(
			request,
			{
				estimateLoad: (...load) => this.loads.estimate(...load),
				linkMs: estimateLinkMs,
			},
			now,
		);
		const chooseAmong = (groups: readonly CandidateGroup[]) => {
			const {choices, drawIndex} = this.options;
			return choosePipeline(
				selectCandidates(groups, choices, findUsable, drawIndex),
				layers,
				costs,
			);
		};

		return chooseAmong(this.#findGroups(hosts, request, now))
			.orElse(() => chooseAmong(this.#buildGroups(hosts, request, now)))
			.map((pipeline) => this.#recordSent(request, pipeline, now))
			.mapErr((missing) => {
				this.#uncovered++;
				return createFailure(
					'noPipeline',
					`No live engine holds layers ${formatLayers(missing)}.`,
					{retryAfterSeconds: 1},
				);
			});
	}

	/** Chooses the least loaded agent that offers a service; ties by chance. */
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
		const [least] = [
			...candidates.slice(offset),
			...candidates.slice(0, offset),
		].toSorted((a, b) => measureLoad(a) - measureLoad(b));
		if (least) {
			this.loads.recordSent(least.host, 1, now);
		}

		return least;
	}

	#recordSent(
		shape: RequestShape,
		pipeline: Pipeline,
		now: Milliseconds,
	): readonly Stage[] {
		for (const {candidate, fromLayer, toLayer} of pipeline.stages) {
			const work = computeStageWork(shape, toLayer - fromLayer);
			this.loads.recordSent(candidate.host.host, work, now);
		}

		return createStages(pipeline);
	}

	#findGroups(
		hosts: HostsSnapshot,
		request: RouteRequest,
		now: Milliseconds,
	): readonly CandidateGroup[] {
		const known = this.#indexes.get(formatKey(request));
		return known && now - known.builtAt < indexLifeMs
			? known.groups
			: this.#buildGroups(hosts, request, now);
	}

	#buildGroups(
		hosts: HostsSnapshot,
		request: RouteRequest,
		now: Milliseconds,
	): readonly CandidateGroup[] {
		const candidates = listCandidates(listAvailableHosts(hosts), request);
		const groups = buildCandidateGroups(candidates);
		this.#indexes.set(formatKey(request), {builtAt: now, groups});
		return groups;
	}
}

const formatKey = ({model, version}: RouteRequest) => `${model}/${version}`;

function findAvailable(
	hosts: HostsSnapshot,
	id: HostId,
): ConnectedHost | undefined {
	const host = hosts.connected.get(id);
	const isLeaving =
		host?.leaving === true || hosts.listed.get(id)?.state === 'leaving';
	return isLeaving ? undefined : host;
}

function findClaimedRate(offers: ConnectedHost['offers']): number {
	const offer = offers.find(({kind}) => kind === 'layers');
	return offer?.kind === 'layers' ? offer.layerTokensPerSecond : 0;
}

const estimateLinkMs = (from: StageCandidate, to: StageCandidate) =>
	from.host.dataCentre === to.host.dataCentre
		? sameDataCentreMs
		: otherDataCentreMs;

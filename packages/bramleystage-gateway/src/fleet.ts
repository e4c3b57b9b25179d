/**
 * What the gateway believes of the backend servers, and its choices among them:
 * the platform's list, what requests saw of each server, and the work that this
 * gateway has in flight there.
 */
import {
	type Avoidance,
	type Backend,
	type BackendChange,
	type BackendId,
	type BackendsSnapshot,
	applyBackendChanges,
	applyOwnLayers,
	choosePath,
	choosePathAfter,
	computeLinkMbps,
	computeTokenRoom,
	createAvoidance,
	createBackends,
	createLinkLoads,
	type DataCentreId,
	type GatewayService,
	isAvoided,
	type LayerRange,
	type LinkLoads,
	type Logger,
	type PathEngine,
	type PathStage,
	pickLowest,
	type PipelineModel,
	recordSuccess,
	recordTransfer,
	recordTrouble,
	removeTrouble,
	replaceBackends,
	type ServiceName,
	type TroubleSign,
} from 'bramleystage';
import {BehaviorSubject} from 'rxjs';

export type FleetOptions = {
	readonly dataCentre: DataCentreId;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Gateways that share the load. */
	readonly countGateways: () => number;
};

/** Delay of a hop between two engines of a data centre, in milliseconds. */
const localHopMs = 0.2;
/** Cost of a hop between data centres, in milliseconds: its delay, and the transfer of the prompt. */
const remoteHopMs = 30;
/** Weight of the load in the cost of an engine: spreads requests, so that a loss touches few. */
const loadWeight = 20;
/** Weight of the load in the cost of a link. */
const linkWeight = 3;
/** Load over which an engine or a link takes no new work; the other gateways may have less there than this one. */
const fullLoad = 2;
/** Strikes after which a server that nobody delisted is taken for lost. */
const lostStrikes = 3;

/** Work of this gateway at one backend server. */
type InFlight = {requests: number; layerTokens: number};

export class Fleet {
	readonly snapshots = new BehaviorSubject<BackendsSnapshot>(createBackends());
	#avoidance: Avoidance = createAvoidance();
	#links: LinkLoads = createLinkLoads();
	readonly #inFlight = new Map<BackendId, InFlight>();
	#readAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: FleetOptions) {}

	/** Present time as of which the list was read, in milliseconds. */
	get readAt(): number {
		return this.#readAt;
	}

	get isListed(): boolean {
		return this.snapshots.value.backends.size > 0;
	}

	/** Applies changes of the list that were read at a present time. */
	apply(changes: readonly BackendChange[], readAt: number): void {
		this.#readAt = Math.max(this.#readAt, readAt);
		this.#publish(applyBackendChanges(this.snapshots.value, changes));
	}

	/** Takes the layers that a backend server itself reports. */
	recordLayers(id: BackendId, layers: LayerRange): void {
		this.#publish(applyOwnLayers(this.snapshots.value, id, layers));
	}

	/** Replaces the list by one that was read at a present time. */
	replace(listed: readonly Backend[], readAt: number): void {
		this.#readAt = Math.max(this.#readAt, readAt);
		this.#publish(replaceBackends(this.snapshots.value, listed));
	}

	/** Backend servers of a service that may be given work; with those avoided by weak signs, if asked for. */
	listUsable(service: ServiceName, withAvoided: boolean): Backend[] {
		const isUsable = ({id}: Backend) =>
			!this.isAvoided(id) || (withAvoided && !this.isUnreachable(id));
		return [...this.snapshots.value.backends.values()].filter(
			(backend) =>
				backend.service === service && !backend.isDraining && isUsable(backend),
		);
	}

	/** Chooses a server of a plain service by its load, then by distance. */
	chooseBackend(
		service: ServiceName,
		excluded: ReadonlySet<BackendId>,
	): Backend | undefined {
		const all = [...this.snapshots.value.backends.values()].filter(
			(backend) => backend.service === service && !backend.isDraining,
		);
		const now = this.options.readClock();
		const good = all.filter(
			({id}) => !isAvoided(this.#avoidance, id, now) && !excluded.has(id),
		);
		const untried = all.filter(({id}) => !excluded.has(id));
		const candidates = [good, untried].find((list) => list.length > 0);
		const score = (backend: Backend) =>
			(this.#inFlight.get(backend.id)?.requests ?? 0) +
			(backend.dataCentre === this.options.dataCentre ? 0 : 0.5);
		return candidates && pickLowest(candidates, score);
	}

	/** Chooses the stages of a model request. */
	choosePath(
		service: GatewayService,
		excluded: ReadonlySet<BackendId>,
	): PathStage[] | undefined {
		const model = service.pipeline;
		if (!model) {
			return undefined;
		}

		const choose = (engines: readonly PathEngine[]) =>
			choosePath(engines, model.layers, (from, to) =>
				this.#computeHopCost(model, from, to),
			);
		// An engine that only turned work away or cut an answer is better than none.
		return (
			choose(this.#listPathEngines(service.name, model, excluded)) ??
			choose(this.#listPathEngines(service.name, model, excluded, true))
		);
	}

	/** Chooses other stages for a request that goes on at its first one. */
	choosePathAfter(
		first: PathStage,
		service: GatewayService,
		excluded: ReadonlySet<BackendId>,
	): PathStage[] | undefined {
		const model = service.pipeline;
		return (
			model &&
			choosePathAfter(
				first,
				this.#listPathEngines(service.name, model, excluded),
				model.layers,
				(from, to) => this.#computeHopCost(model, from, to),
			)
		);
	}

	/** Whether a server has kept failing, though the list still has it. */
	isLost(id: BackendId): boolean {
		return (this.#avoidance.get(id)?.strikes ?? 0) >= lostStrikes;
	}

	/** Whether requests could not reach a server just now. */
	isUnreachable(id: BackendId): boolean {
		return (
			this.isAvoided(id) && this.#avoidance.get(id)?.sign === 'unreachable'
		);
	}

	/** Records the transfers between data centres that a prompt causes on its path. */
	recordPrompt(
		model: PipelineModel,
		stages: readonly PathStage[],
		tokens: number,
	): void {
		const {backends} = this.snapshots.value;
		const places = stages.flatMap(({id}) => backends.get(id)?.dataCentre ?? []);
		const bytes = tokens * model.activationBytes;
		for (const [index, to] of places.entries()) {
			const from = places[index - 1];
			if (from !== undefined && from !== to) {
				const now = this.options.readClock();
				this.#links = recordTransfer(this.#links, [from, to], bytes, now);
			}
		}
	}

	/** Counts work at the stages until the clean-up is called. */
	registerWork(
		stages: ReadonlyArray<Pick<PathStage, 'id' | 'layers'>>,
		tokens: number,
	): () => void {
		const add = (sign: 1 | -1) => {
			for (const {id, layers} of stages) {
				const known = this.#inFlight.get(id) ?? {requests: 0, layerTokens: 0};
				known.requests += sign;
				known.layerTokens += sign * tokens * (layers.to - layers.from);
				this.#inFlight.set(id, known);
			}
		};

		let isDone = false;
		add(1);
		return () => {
			if (!isDone) {
				isDone = true;
				add(-1);
			}
		};
	}

	/** Records a sign of trouble; the reason is for the log. */
	recordTrouble(id: BackendId, sign: TroubleSign, reason: string): void {
		const now = this.options.readClock();
		const next = recordTrouble(this.#avoidance, id, sign, now);
		if (next !== this.#avoidance && isAvoided(next, id, now)) {
			const ms = Math.round((next.get(id)?.until ?? now) - now);
			this.options.logger.warn('backend.avoided', {
				backend: id,
				address: this.snapshots.value.backends.get(id)?.address,
				list_age_ms: Math.round(now - this.#readAt),
				sign,
				reason,
				for_ms: ms,
			});
		}

		this.#avoidance = next;
	}

	recordSuccess(id: BackendId): void {
		const now = this.options.readClock();
		this.#avoidance = recordSuccess(this.#avoidance, id, now);
	}

	findByAddress(address: string): Backend | undefined {
		for (const backend of this.snapshots.value.backends.values()) {
			if (backend.address === address) {
				return backend;
			}
		}

		return undefined;
	}

	isAvoided(id: BackendId): boolean {
		return isAvoided(this.#avoidance, id, this.options.readClock());
	}

	#listPathEngines(
		service: ServiceName,
		model: PipelineModel,
		excluded: ReadonlySet<BackendId>,
		withAvoided = false,
	): PathEngine[] {
		return this.listUsable(service, withAvoided)
			.filter(({id}) => !excluded.has(id))
			.flatMap((backend) => this.#toPathEngine(backend, model) ?? []);
	}

	#computeHopCost(
		model: PipelineModel,
		from: DataCentreId,
		to: DataCentreId,
	): number {
		if (from === to) {
			return localHopMs;
		}

		const now = this.options.readClock();
		const mbps = computeLinkMbps(this.#links, [from, to], now);
		const load = (mbps * this.options.countGateways()) / model.pipeMbps;
		return load > fullLoad
			? Number.POSITIVE_INFINITY
			: remoteHopMs * (1 + linkWeight * load);
	}

	#toPathEngine(
		backend: Backend,
		model: PipelineModel,
	): PathEngine | undefined {
		const {id, address, dataCentre, layers, kind} = backend;
		if (!layers || kind === undefined) {
			return undefined;
		}

		const held = layers.to - layers.from;
		const room = computeTokenRoom(model, kind, held) * held;
		const work = this.#inFlight.get(id) ?? {requests: 0, layerTokens: 0};
		const gateways = this.options.countGateways();
		const load = (work.layerTokens * gateways) / Math.max(1, room);
		const slotLoad = (work.requests * gateways) / model.slots;
		const stepFactor = model.kinds.get(kind)?.stepFactor ?? 1;
		const stepMs = (model.stepMs * stepFactor) / model.layers;
		if (load > fullLoad) {
			return undefined;
		}

		return {
			id,
			address,
			dataCentre,
			layers,
			layerCost: stepMs * (1 + loadWeight * load),
			firstCost:
				slotLoad > fullLoad ? Number.POSITIVE_INFINITY : loadWeight * slotLoad,
		};
	}

	#publish(next: BackendsSnapshot): void {
		const previous = this.snapshots.value;
		if (next === previous) {
			return;
		}

		for (const [id, backend] of next.backends) {
			const known = previous.backends.get(id);
			if (known !== backend) {
				this.options.logger.info('backend.listed', {
					backend: id,
					service: backend.service,
					address: backend.address,
					data_centre: backend.dataCentre,
					draining: backend.isDraining,
					kind: backend.kind,
					layers:
						backend.layers && `${backend.layers.from}-${backend.layers.to}`,
				});
				if (known?.bornAt !== backend.bornAt) {
					this.#avoidance = removeTrouble(this.#avoidance, id);
				}
			}
		}

		for (const id of previous.backends.keys()) {
			if (!next.backends.has(id)) {
				const {address} = previous.backends.get(id) ?? {};
				this.options.logger.info('backend.removed', {backend: id, address});
			}
		}

		this.snapshots.next(next);
	}
}

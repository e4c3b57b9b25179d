/**
 * What the gateway believes of the backend servers, and its choices among them:
 * the platform's list, what requests saw of each server, and what paths cost.
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
	createAvoidance,
	createBackends,
	type DataCentreId,
	type GatewayService,
	isAvoided,
	type LayerRange,
	type Logger,
	type PathEngine,
	type PathStage,
	pickLowest,
	type PipelineModel,
	recordSuccess,
	recordTrouble,
	removeTrouble,
	replaceBackends,
	type ServiceName,
	type TroubleSign,
} from 'bramleystage';
import {BehaviorSubject} from 'rxjs';
import {PathCosts} from './path-costs.js';

export type FleetOptions = {
	readonly dataCentre: DataCentreId;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Gateways that share the load. */
	readonly countGateways: () => number;
};

/** Strikes after which a server that nobody delisted is taken for lost. */
const lostStrikes = 3;

export class Fleet {
	readonly snapshots = new BehaviorSubject<BackendsSnapshot>(createBackends());
	#avoidance: Avoidance = createAvoidance();
	readonly #costs: PathCosts;
	#readAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: FleetOptions) {
		this.#costs = new PathCosts(options.countGateways, options.readClock);
	}

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
			this.#costs.countRequests(backend.id) +
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
				this.#costs.computeHopCost(model, from, to),
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
				(from, to) => this.#costs.computeHopCost(model, from, to),
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
		this.#costs.recordPrompt(model, places, tokens);
	}

	/** Counts work at the stages until the clean-up is called. */
	registerWork(
		stages: ReadonlyArray<Pick<PathStage, 'id' | 'layers'>>,
		tokens: number,
	): () => void {
		return this.#costs.registerWork(stages, tokens);
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
			.flatMap((backend) => this.#costs.buildPathEngine(backend, model) ?? []);
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

/**
 * The gateway's view of the backend servers, and the choice among them. It
 * combines the platform's list, the successes and failures that requests saw at
 * each server (outlier avoidance), and the cost of each path.
 */
import {
	type Avoidance,
	type Backend,
	type BackendChange,
	type BackendId,
	type BackendsSnapshot,
	applyBackendChanges,
	applyReportedLayers,
	choosePath,
	choosePathFromStage,
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
	recordFailure,
	removeFailures,
	replaceBackends,
	type ServiceName,
	type FailureSignal,
} from 'bramleystage';
import {BehaviorSubject} from 'rxjs';
import {PathCosts} from './path-costs.js';

export type FleetOptions = {
	readonly dataCentre: DataCentreId;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Number of gateways that share the load. */
	readonly countGateways: () => number;
};

/** Consecutive avoidances after which a server that is still listed is assumed to be lost. */
const minLostFailures = 3;

export class Fleet {
	readonly snapshots = new BehaviorSubject<BackendsSnapshot>(createBackends());
	#avoidance: Avoidance = createAvoidance();
	readonly #costs: PathCosts;
	#readAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: FleetOptions) {
		this.#costs = new PathCosts(options.countGateways, options.readClock);
	}

	/** Steady-clock time as of which the list is known, in milliseconds. */
	get readAt(): number {
		return this.#readAt;
	}

	get hasBackends(): boolean {
		return this.snapshots.value.backends.size > 0;
	}

	/** Applies changes of the list; `readAt` is the steady-clock time of the read, in milliseconds. */
	apply(changes: readonly BackendChange[], readAt: number): void {
		this.#readAt = Math.max(this.#readAt, readAt);
		this.#publish(applyBackendChanges(this.snapshots.value, changes));
	}

	/** Records the layers that a backend server reports for itself. */
	recordLayers(id: BackendId, layers: LayerRange): void {
		this.#publish(applyReportedLayers(this.snapshots.value, id, layers));
	}

	/** Replaces the complete list; `readAt` is the steady-clock time of the read, in milliseconds. */
	replace(listed: readonly Backend[], readAt: number): void {
		this.#readAt = Math.max(this.#readAt, readAt);
		this.#publish(replaceBackends(this.snapshots.value, listed));
	}

	/** Lists the backend servers of a service that accept new work; `includeAvoided` adds avoided ones that are reachable. */
	listUsable(service: ServiceName, includeAvoided: boolean): Backend[] {
		const isUsable = ({id}: Backend) =>
			!this.isAvoided(id) || (includeAvoided && !this.isUnreachable(id));
		return [...this.snapshots.value.backends.values()].filter(
			(backend) =>
				backend.service === service && !backend.isDraining && isUsable(backend),
		);
	}

	/** Chooses the least loaded server of a plain service, preferring this data centre among equals. */
	chooseBackend(
		service: ServiceName,
		excluded: ReadonlySet<BackendId>,
	): Backend | undefined {
		const all = [...this.snapshots.value.backends.values()].filter(
			(backend) => backend.service === service && !backend.isDraining,
		);
		const now = this.options.readClock();
		const preferred = all.filter(
			({id}) => !isAvoided(this.#avoidance, id, now) && !excluded.has(id),
		);
		const untried = all.filter(({id}) => !excluded.has(id));
		const candidates = [preferred, untried].find((list) => list.length > 0);
		const score = (backend: Backend) =>
			this.#costs.countRequests(backend.id) +
			(backend.dataCentre === this.options.dataCentre ? 0 : 0.5);
		return candidates && pickLowest(candidates, score);
	}

	/** Chooses the pipeline stages for a model request; undefined if no path covers all layers. */
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
		// Falls back to engines that only refused work or did not complete an answer: better than no path.
		return (
			choose(this.#listPathEngines(service.name, model, excluded)) ??
			choose(this.#listPathEngines(service.name, model, excluded, true))
		);
	}

	/** Chooses new stages after the first one, for a request that continues at its first engine. */
	choosePathAfter(
		first: PathStage,
		service: GatewayService,
		excluded: ReadonlySet<BackendId>,
	): PathStage[] | undefined {
		const model = service.pipeline;
		return (
			model &&
			choosePathFromStage(
				first,
				this.#listPathEngines(service.name, model, excluded),
				model.layers,
				(from, to) => this.#costs.computeHopCost(model, from, to),
			)
		);
	}

	/** Whether a server keeps failing although it is still listed. */
	isLost(id: BackendId): boolean {
		return (
			(this.#avoidance.get(id)?.consecutiveAvoidances ?? 0) >= minLostFailures
		);
	}

	/** Whether requests recently failed to reach a server. */
	isUnreachable(id: BackendId): boolean {
		return (
			this.isAvoided(id) && this.#avoidance.get(id)?.sign === 'unreachable'
		);
	}

	/** Records the transfers between data centres that a prompt causes along its path. */
	recordPrompt(
		model: PipelineModel,
		stages: readonly PathStage[],
		tokens: number,
	): void {
		const {backends} = this.snapshots.value;
		const dataCentres = stages.flatMap(
			({id}) => backends.get(id)?.dataCentre ?? [],
		);
		this.#costs.recordPrompt(model, dataCentres, tokens);
	}

	/** Counts a request as in flight at the stages until the returned function is called. */
	registerWork(
		stages: ReadonlyArray<Pick<PathStage, 'id' | 'layers'>>,
		tokens: number,
	): () => void {
		return this.#costs.registerWork(stages, tokens);
	}

	/** Records a sign of trouble at a server; `reason` only appears in the log. */
	recordFailure(id: BackendId, sign: FailureSignal, reason: string): void {
		const now = this.options.readClock();
		const next = recordFailure(this.#avoidance, id, sign, now);
		if (next !== this.#avoidance && isAvoided(next, id, now)) {
			const ms = Math.round((next.get(id)?.avoidedUntil ?? now) - now);
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
		includeAvoided = false,
	): PathEngine[] {
		return this.listUsable(service, includeAvoided)
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
					this.#avoidance = removeFailures(this.#avoidance, id);
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

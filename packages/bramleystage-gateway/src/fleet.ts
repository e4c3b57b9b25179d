/**
 * The gateway's view of the backend servers, and the choice among them. It
 * combines the platform's list, what requests saw of each server
 * (backend-health.ts), and the cost of each path.
 */
import {
	type Backend,
	type BackendChange,
	type BackendId,
	type BackendsSnapshot,
	applyBackendChanges,
	applyLeaving,
	applyReportedLayers,
	applyRestoredBackends,
	createBackends,
	createStoreEra,
	type DataCentreId,
	type GatewayService,
	isListRestored,
	isRemovedInstance,
	type LayerRange,
	type Logger,
	type PathStage,
	type PipelineModel,
	recordStoreEra,
	replaceBackends,
	type ServiceName,
	type StoreEraState,
} from 'bramleystage';
import {BehaviorSubject} from 'rxjs';
import {chooseBackend} from './backend-choice.js';
import {BackendHealth} from './backend-health.js';
import {recordBackendChanges} from './backend-log.js';
import type {ReadFleetLoad} from './engine-loads.js';
import {InstanceReturns} from './instance-returns.js';
import {type LimitedChoice, unlimitedChoice} from './limited-choice.js';
import {PathChoice} from './path-choice.js';
import {PathCosts} from './path-costs.js';

export type FleetOptions = {
	readonly dataCentre: DataCentreId;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Number of gateways that share the load. */
	readonly countGateways: () => number;
	readonly readLinkDelayMs: () => number;
	/** Chooses between servers that name a limit and others; absent if none does. */
	readonly limitedChoice?: LimitedChoice;
	/** Reads the load of all gateways; not measured if absent. */
	readonly readFleetLoad?: ReadFleetLoad;
	/** Returns a number from 0 to below 1. */
	readonly drawRandom?: () => number;
};

export class Fleet {
	readonly snapshots = new BehaviorSubject<BackendsSnapshot>(createBackends());
	readonly health: BackendHealth;
	readonly costs: PathCosts;
	readonly paths: PathChoice;
	#storeEra: StoreEraState = createStoreEra();
	#readAt = Number.NEGATIVE_INFINITY;
	#reader: string | undefined;

	readonly #limitedChoice: LimitedChoice;
	readonly #returns = new InstanceReturns();

	constructor(private readonly options: FleetOptions) {
		this.#limitedChoice = options.limitedChoice ?? unlimitedChoice;
		this.costs = new PathCosts(
			options.countGateways,
			options.readClock,
			options.readFleetLoad,
		);
		this.paths = new PathChoice(
			this.costs,
			this.#limitedChoice,
			(service, includeAvoided) => this.listUsable(service, includeAvoided),
			options.drawRandom ?? Math.random,
		);
		this.health = new BackendHealth({
			...options,
			describeBackend: (id) => ({
				address: this.snapshots.value.backends.get(id)?.address,
				list_age_ms: Math.round(options.readClock() - this.#readAt),
				link_delay_ms: options.readLinkDelayMs() || undefined,
			}),
		});
	}

	/** Steady-clock time as of which the list is known, in milliseconds. */
	get readAt(): number {
		return this.#readAt;
	}

	/** `host:port` of the gateway that read the list; undefined if this one did. */
	get reader(): string | undefined {
		return this.#reader;
	}

	get hasBackends(): boolean {
		return this.snapshots.value.backends.size > 0;
	}

	/** Newest era of the platform's store; undefined before the first answer. */
	get storeEra(): number | undefined {
		return this.#storeEra.era;
	}

	/** Steady-clock time at which the store was seen to be restored from an older copy, in milliseconds; undefined if it was not. */
	get restoredAt(): number | undefined {
		return this.#storeEra.restoredAt;
	}

	/** Whether the list may still show entries from before the store was restored from a copy. */
	get isListRestored(): boolean {
		return isListRestored(this.#storeEra, this.options.readClock());
	}

	/** Records the era that an answer of the store or a peer has shown. */
	recordStoreEra(era: number): void {
		const previous = this.#storeEra.era;
		const now = this.options.readClock();
		this.#storeEra = recordStoreEra(this.#storeEra, era, now);
		if (previous !== undefined && previous !== this.#storeEra.era) {
			this.options.logger.warn('store.restored', {era, previous});
		}
	}

	/** Applies changes of the list; `readAt` is the steady-clock time of the read, in milliseconds. */
	apply(changes: readonly BackendChange[], readAt: number): void {
		this.#recordRead(readAt);
		this.#publish(applyBackendChanges(this.snapshots.value, changes));
	}

	/** Applies entries of a list that was restored from an older copy. */
	applyRestored(changes: readonly BackendChange[], readAt: number): void {
		this.#recordRead(readAt);
		this.#publish(applyRestoredBackends(this.snapshots.value, changes));
	}

	/** Records that a backend server has said that it leaves. */
	recordLeaving(id: BackendId): void {
		const next = applyLeaving(this.snapshots.value, id);
		if (next !== this.snapshots.value) {
			this.options.logger.info('backend.leaving', {
				backend: id,
				address: next.backends.get(id)?.address,
			});
			this.#publish(next);
		}
	}

	/** Computes the time after which a service takes work again, in milliseconds; undefined if pauses are not the reason that it takes none. */
	computePauseMs({name, pipeline}: GatewayService): number | undefined {
		const ids = this.#listOpen(name).map(({id}) => id);
		const isReason =
			pipeline !== undefined || ids.every((id) => this.health.isPaused(id));
		return isReason ? this.health.computePauseMs(ids) : undefined;
	}

	/** Records the layers that a backend server reports for itself. */
	recordLayers(id: BackendId, layers: LayerRange): void {
		this.#publish(applyReportedLayers(this.snapshots.value, id, layers));
	}

	/** Replaces the complete list; `readAt` is the steady-clock time of the read, in milliseconds. */
	replace(listed: readonly Backend[], readAt: number): void {
		this.#recordRead(readAt);
		this.#publish(replaceBackends(this.snapshots.value, listed));
	}

	/** Replaces the list by a peer's, without the instances that the peer may have from a restored list. */
	replaceByPeerList(
		listed: readonly Backend[],
		readAt: number,
		reader: string | undefined,
	): void {
		const {value} = this.snapshots;
		this.replace(
			this.isListRestored
				? listed.filter((entry) => !isRemovedInstance(value, entry))
				: listed,
			readAt,
		);
		this.#reader = reader;
	}

	/** Lists the backend servers of a service that accept new work; `includeAvoided` adds avoided ones that are reachable. */
	listUsable(service: ServiceName, includeAvoided: boolean): Backend[] {
		const {health} = this;
		const isUsable = ({id}: Backend) =>
			!health.isAvoided(id) || (includeAvoided && !health.isUnreachable(id));
		return this.#listOpen(service).filter(
			(backend) => !health.isPaused(backend.id) && isUsable(backend),
		);
	}

	/** Whether a server may be sent new work: it is listed, doesn't leave, and wants work now. */
	isOpen(id: BackendId): boolean {
		const {isDraining = true} = this.snapshots.value.backends.get(id) ?? {};
		return !isDraining && !this.health.isPaused(id);
	}

	/** Whether a service takes a request without a turn at a server that names a limit. */
	hasUnlimitedRoom({name, pipeline}: GatewayService): boolean {
		const usable = this.listUsable(name, true);
		return this.#limitedChoice.hasUnlimitedRoom(
			usable,
			this.costs.createRoomCheck(usable, pipeline),
		);
	}

	/** Chooses a server of a plain service, but none in `full`: the least loaded one, preferring this data centre among equals. */
	chooseBackend(
		service: ServiceName,
		excluded: ReadonlySet<BackendId>,
		full: ReadonlySet<BackendId> = new Set(),
	): Backend | undefined {
		return chooseBackend(
			this.#listOpen(service),
			(id) => excluded.has(id) || full.has(id),
			{
				health: this.health,
				costs: this.costs,
				limitedChoice: this.#limitedChoice,
				dataCentre: this.options.dataCentre,
			},
		);
	}

	/** Chooses the pipeline stages for a model request, which doesn't begin at an engine in `full`; undefined if no path covers all layers. */
	choosePath(
		service: GatewayService,
		excluded: ReadonlySet<BackendId>,
		full: ReadonlySet<BackendId> = new Set(),
	): PathStage[] | undefined {
		return this.paths.choose(service, excluded, full);
	}

	/** Chooses new stages after the first one, which may be leaving or paused. */
	choosePathAfter(
		first: PathStage,
		service: GatewayService,
		excluded: ReadonlySet<BackendId>,
	): PathStage[] | undefined {
		const own = this.snapshots.value.backends.get(first.id);
		return (
			own &&
			this.paths.chooseAfter(
				{...first, dataCentre: own.dataCentre},
				service,
				excluded,
			)
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
		this.costs.recordPrompt(model, dataCentres, tokens);
	}

	findByAddress(address: string): Backend | undefined {
		const backends = [...this.snapshots.value.backends.values()];
		return backends.find((backend) => backend.address === address);
	}

	/** Lists the backend servers of a service that are not leaving. */
	#listOpen(service: ServiceName): Backend[] {
		return [...this.snapshots.value.backends.values()].filter(
			(backend) => backend.service === service && !backend.isDraining,
		);
	}

	#recordRead(readAt: number): void {
		this.#readAt = Math.max(this.#readAt, readAt);
		this.#reader = undefined;
	}

	#publish(next: BackendsSnapshot): void {
		const previous = this.snapshots.value;
		if (next === previous) {
			return;
		}

		recordBackendChanges(this.options.logger, previous.backends, next.backends);
		const listed = this.#returns.update(
			previous.backends,
			next.backends,
			(id) => this.health.isPaused(id),
		);
		for (const {id, isReturned} of listed) {
			this.health.removeRecords(id, isReturned);
			this.costs.removeReport(id);
		}

		for (const id of previous.backends.keys()) {
			if (!next.backends.has(id)) {
				this.costs.removeReport(id);
			}
		}

		this.snapshots.next(next);
	}
}

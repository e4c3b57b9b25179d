/**
 * Computes the cost of paths from the speed of the engines, their load, and the load
 * of the links between data centres. The load of an engine comes from this gateway's
 * requests in flight, the measured load of all gateways and the engine's last report
 * (coordination/path-load.ts). Without these two every other gateway is assumed to have
 * as much work in flight as this one.
 */
import {
	type Backend,
	type BackendId,
	computeBlendedRequests,
	computeCrowdCost,
	computeEvenWork,
	computeFleetWork,
	computeLinkMbps,
	computeReportedOthers,
	computeTokenCapacity,
	createLinkLoads,
	type DataCentreId,
	type EngineLoadReport,
	type FleetLoad,
	type LayerRange,
	type LinkLoads,
	type PathEngine,
	type PipelineModel,
	recordTransfer,
	type ServiceName,
} from 'bramleystage';
import {EngineLoads, type InFlightWork} from './engine-loads.js';

/** Cost of a hop between two engines of one data centre, in milliseconds: its delay. */
const localHopCostMs = 0.2;
/** Cost of a hop between data centres, in milliseconds: its delay and the transfer of the prompt. */
const remoteHopCostMs = 30;
/** Weight of the load in the cost of an engine: spreads requests, so that the loss of an engine affects few. */
const engineLoadWeight = 20;
/** Weight of the load in the cost of a link. */
const linkLoadWeight = 3;
/** Load above which an engine or a link gets no new work; above 1, as the other gateways may have less work there than this one. */
const maxLoad = 2;
/** Multiple of the number of gateways that the factor from the own traffic on a link to that of all doesn't exceed: few own requests say little. */
const maxLinkFactor = 4;

/** An engine that holds layers, with its capacity in tokens times layers. */
type Holder = {
	readonly backend: Backend & {readonly layers: LayerRange};
	readonly work: InFlightWork;
	readonly report?: EngineLoadReport;
	readonly capacity: number;
	readonly stepFactor: number;
};

/** What the engines of a service have and do together. */
type FleetTotals = {
	readonly load: FleetLoad;
	readonly firstStages: number;
	readonly received: number;
	readonly layerTokens: number;
	readonly capacity: number;
	/** Requests of the other gateways; undefined if only their number is known. */
	readonly others?: number;
};

export class PathCosts extends EngineLoads {
	#links: LinkLoads = createLinkLoads();

	/** Records the transfers that a prompt causes between the data centres of its stages. */
	recordPrompt(
		model: PipelineModel,
		dataCentres: readonly DataCentreId[],
		tokens: number,
	): void {
		const bytes = tokens * model.activationBytes;
		const now = this.readClock();
		for (const [index, to] of dataCentres.entries()) {
			const from = dataCentres[index - 1];
			if (from !== undefined && from !== to) {
				this.#links = recordTransfer(this.#links, [from, to], bytes, now);
			}
		}
	}

	/** Returns whether one of the servers takes a request at once, as the first stage if they serve a model. */
	createRoomCheck(
		backends: readonly Backend[],
		model?: PipelineModel,
	): (backend: Backend) => boolean {
		if (!model) {
			return ({id, service, slots}) =>
				this.countRequests(id) * this.computeFactor(service, 1) <=
				maxLoad * slots;
		}

		let roomy: ReadonlySet<BackendId> | undefined;
		return ({id}) => {
			roomy ??= new Set(
				this.buildPathEngines(backends, model)
					.filter(
						({layers, firstStageCost}) =>
							layers.from === 0 && Number.isFinite(firstStageCost),
					)
					.map((engine) => engine.id),
			);
			return roomy.has(id);
		};
	}

	/** Computes the cost of sending activations to the next stage, in milliseconds; infinite if the link is full. */
	computeHopCost(
		model: PipelineModel,
		[from, to]: readonly [DataCentreId, DataCentreId],
		service: ServiceName,
	): number {
		if (from === to) {
			return localHopCostMs;
		}

		const now = this.readClock();
		const mbps = computeLinkMbps(this.#links, [from, to], now);
		const load =
			(mbps * this.computeFactor(service, maxLinkFactor)) / model.linkMbps;
		return load > maxLoad
			? Number.POSITIVE_INFINITY
			: remoteHopCostMs * (1 + linkLoadWeight * load);
	}

	/** Describes the engines of a service for the choice of a path, without those that hold no layers or are full. */
	buildPathEngines(
		backends: readonly Backend[],
		model: PipelineModel,
	): PathEngine[] {
		const now = this.readClock();
		const holders = backends.flatMap(
			(backend) => this.#buildHolder(backend, model) ?? [],
		);
		const [first] = holders;
		if (!first) {
			return [];
		}

		const load = this.readFleetLoad(first.backend.service, now);
		const firstStages = holders.filter(
			({backend}) => backend.layers.from === 0,
		);
		const sum = (read: (holder: Holder) => number) =>
			holders.reduce((total, holder) => total + read(holder), 0);
		const totals: FleetTotals = {
			load,
			firstStages: firstStages.length,
			received: sum(({work}) => work.received),
			layerTokens: sum(({work}) => work.layerTokens),
			capacity: sum(({capacity}) => capacity),
			others: load.isMeasured
				? Math.max(0, load.fleet.running - load.own.running)
				: computeReportedOthers(
						firstStages.map(({report}) => report),
						now,
					),
		};
		return holders.flatMap(
			(holder) => this.#buildPathEngine(holder, totals, model, now) ?? [],
		);
	}

	#buildHolder(backend: Backend, model: PipelineModel): Holder | undefined {
		const {id, layers, kind} = backend;
		if (!layers || kind === undefined) {
			return undefined;
		}

		const heldLayers = layers.to - layers.from;
		return {
			backend: {...backend, layers},
			work: this.findWork(id),
			report: this.findReport(id),
			capacity: computeTokenCapacity(model, kind, heldLayers) * heldLayers,
			stepFactor: model.kinds.get(kind)?.stepFactor ?? 1,
		};
	}

	#buildPathEngine(
		holder: Holder,
		totals: FleetTotals,
		model: PipelineModel,
		now: number,
	): PathEngine | undefined {
		const {backend, capacity, stepFactor} = holder;
		const {id, address, dataCentre, layers} = backend;
		const layerTokens = this.#estimateLayerTokens(holder, totals, model);
		const load = layerTokens / Math.max(1, capacity);
		if (load > maxLoad) {
			return undefined;
		}

		const slots = holder.report?.slots ?? model.slots;
		const slotLoad = this.#estimateRequests(holder, totals, now) / slots;
		const isKnown = totals.others !== undefined;
		const stepMs = (model.stepMs * stepFactor) / model.layers;
		return {
			id,
			address,
			dataCentre,
			layers,
			layerCost:
				stepMs * (1 + engineLoadWeight * load) +
				// An engine whose KV cache is full refuses requests or preempts others.
				(totals.load.isMeasured
					? computeCrowdCost(load) / (layers.to - layers.from)
					: 0),
			firstStageCost:
				slotLoad > maxLoad
					? Number.POSITIVE_INFINITY
					: engineLoadWeight * slotLoad +
						(isKnown ? computeCrowdCost(slotLoad) : 0),
			...(isKnown && {firstStageLoad: {slots, slotLoad}}),
		};
	}

	/** Estimates the requests of all gateways at an engine as the first stage. */
	#estimateRequests(
		{work, report}: Holder,
		{others, firstStages, received}: FleetTotals,
		now: number,
	): number {
		if (others === undefined) {
			return work.requests * this.countGateways();
		}

		const estimated = computeFleetWork({
			own: work.received,
			ownTotal: received,
			othersTotal: others,
			share: 1 / Math.max(1, firstStages),
			evenWork: computeEvenWork(firstStages),
		});
		return computeBlendedRequests(estimated, work.received, report, now);
	}

	/** Estimates the tokens of all gateways at an engine, times layers. */
	#estimateLayerTokens(
		{work, capacity}: Holder,
		totals: FleetTotals,
		{layers}: PipelineModel,
	): number {
		const {own, fleet, isMeasured} = totals.load;
		if (!isMeasured) {
			return work.layerTokens * this.countGateways();
		}

		const requestTokens = fleet.tokens / Math.max(1, fleet.running);
		return computeFleetWork({
			own: work.layerTokens,
			ownTotal: totals.layerTokens,
			othersTotal: Math.max(0, fleet.tokens - own.tokens) * layers,
			share: capacity / Math.max(1, totals.capacity),
			evenWork: computeEvenWork(totals.firstStages) * requestTokens * layers,
		});
	}
}

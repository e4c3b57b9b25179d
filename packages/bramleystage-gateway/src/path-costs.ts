/**
 * Computes the cost of paths from the speed of the engines, this gateway's
 * requests in flight at them, and the load of the links between data centres.
 * Every other gateway is assumed to have as much work in flight as this one.
 */
import {
	type Backend,
	type BackendId,
	computeLinkMbps,
	computeTokenCapacity,
	createLinkLoads,
	type DataCentreId,
	type LinkLoads,
	type PathEngine,
	type PathStage,
	type PipelineModel,
	recordTransfer,
} from 'bramleystage';

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

/** Work that this gateway has in flight at one backend server. */
type InFlightWork = {requests: number; layerTokens: number};

export class PathCosts {
	#links: LinkLoads = createLinkLoads();
	readonly #inFlight = new Map<BackendId, InFlightWork>();

	constructor(
		/** Returns the number of gateways that share the load. */
		private readonly countGateways: () => number,
		private readonly readClock: () => number,
	) {}

	/** Counts this gateway's requests in flight at a backend server. */
	countRequests(id: BackendId): number {
		return this.#inFlight.get(id)?.requests ?? 0;
	}

	/** Counts a request as in flight at the stages until the returned function is called. */
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

	/** Whether a server takes a request at once, as the first stage if it serves a model. */
	hasRoom(backend: Backend, model?: PipelineModel): boolean {
		if (!model) {
			const requests = this.countRequests(backend.id) * this.countGateways();
			return requests <= maxLoad * backend.slots;
		}

		const engine = this.buildPathEngine(backend, model);
		return engine?.layers.from === 0 && Number.isFinite(engine.firstStageCost);
	}

	/** Computes the cost of sending activations to the next stage, in milliseconds; infinite if the link is full. */
	computeHopCost(
		model: PipelineModel,
		from: DataCentreId,
		to: DataCentreId,
	): number {
		if (from === to) {
			return localHopCostMs;
		}

		const now = this.readClock();
		const mbps = computeLinkMbps(this.#links, [from, to], now);
		const load = (mbps * this.countGateways()) / model.linkMbps;
		return load > maxLoad
			? Number.POSITIVE_INFINITY
			: remoteHopCostMs * (1 + linkLoadWeight * load);
	}

	/** Describes an engine for the choice of a path; undefined if it holds no layers or is full. */
	buildPathEngine(
		backend: Backend,
		model: PipelineModel,
	): PathEngine | undefined {
		const {id, address, dataCentre, layers, kind} = backend;
		if (!layers || kind === undefined) {
			return undefined;
		}

		const heldLayers = layers.to - layers.from;
		const layerTokenCapacity =
			computeTokenCapacity(model, kind, heldLayers) * heldLayers;
		const work = this.#inFlight.get(id) ?? {requests: 0, layerTokens: 0};
		const gateways = this.countGateways();
		const load =
			(work.layerTokens * gateways) / Math.max(1, layerTokenCapacity);
		const slotLoad = (work.requests * gateways) / model.slots;
		const stepFactor = model.kinds.get(kind)?.stepFactor ?? 1;
		const stepMs = (model.stepMs * stepFactor) / model.layers;
		if (load > maxLoad) {
			return undefined;
		}

		return {
			id,
			address,
			dataCentre,
			layers,
			layerCost: stepMs * (1 + engineLoadWeight * load),
			firstStageCost:
				slotLoad > maxLoad
					? Number.POSITIVE_INFINITY
					: engineLoadWeight * slotLoad,
		};
	}
}

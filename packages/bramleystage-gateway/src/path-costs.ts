/**
 * What paths cost: the speed of engines, the work that this gateway has in
 * flight there, and the load of the links between data centres. The other
 * gateways are taken to have as much work in flight as this one.
 */
import {
	type Backend,
	type BackendId,
	computeLinkMbps,
	computeTokenRoom,
	createLinkLoads,
	type DataCentreId,
	type LinkLoads,
	type PathEngine,
	type PathStage,
	type PipelineModel,
	recordTransfer,
} from 'bramleystage';

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

/** Work of this gateway at one backend server. */
type InFlight = {requests: number; layerTokens: number};

export class PathCosts {
	#links: LinkLoads = createLinkLoads();
	readonly #inFlight = new Map<BackendId, InFlight>();

	constructor(
		/** Gateways that share the load. */
		private readonly countGateways: () => number,
		private readonly readClock: () => number,
	) {}

	/** Requests of this gateway in flight at a backend server. */
	countRequests(id: BackendId): number {
		return this.#inFlight.get(id)?.requests ?? 0;
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

	/** Records the transfers that a prompt causes between the data centres of its stages. */
	recordPrompt(
		model: PipelineModel,
		places: readonly DataCentreId[],
		tokens: number,
	): void {
		const bytes = tokens * model.activationBytes;
		const now = this.readClock();
		for (const [index, to] of places.entries()) {
			const from = places[index - 1];
			if (from !== undefined && from !== to) {
				this.#links = recordTransfer(this.#links, [from, to], bytes, now);
			}
		}
	}

	/** Computes the cost of passing activations on, in milliseconds; infinite if the link is full. */
	computeHopCost(
		model: PipelineModel,
		from: DataCentreId,
		to: DataCentreId,
	): number {
		if (from === to) {
			return localHopMs;
		}

		const now = this.readClock();
		const mbps = computeLinkMbps(this.#links, [from, to], now);
		const load = (mbps * this.countGateways()) / model.pipeMbps;
		return load > fullLoad
			? Number.POSITIVE_INFINITY
			: remoteHopMs * (1 + linkWeight * load);
	}

	/** Describes an engine as a path sees it; nothing if it holds no layers or is full. */
	buildPathEngine(
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
		const gateways = this.countGateways();
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
}

/**
 * The choice of a path of engines for a model request: the cheapest one over usable
 * engines. When the load of first stages is known, the first stage is drawn among those
 * of near-equal cost, as all gateways know much the same load.
 */
import {
	type Backend,
	type BackendId,
	chooseFirstStage,
	choosePath,
	choosePathFromStage,
	type ComputeHopCost,
	type DataCentreId,
	type GatewayService,
	listPathOptions,
	type PathEngine,
	type PathStage,
	type PipelineModel,
	type ServiceName,
} from 'bramleystage';
import type {LimitedChoice} from './limited-choice.js';
import type {PathCosts} from './path-costs.js';

export class PathChoice {
	/** Choices of a first stage by load, those among them that found none with a free slot, and the largest load over the mean at the last one. */
	readonly counts = {byLoad: 0, withoutSlot: 0, spread: 0};

	constructor(
		private readonly costs: PathCosts,
		private readonly limitedChoice: LimitedChoice,
		/** Lists the engines of a service that accept new work; `includeAvoided` adds avoided ones that are reachable. */
		private readonly listUsable: (
			service: ServiceName,
			includeAvoided: boolean,
		) => Backend[],
		/** Returns a number from 0 to below 1. */
		private readonly drawRandom: () => number,
	) {}

	/** Chooses a path that doesn't begin at an engine in `full`; undefined if none covers all layers. */
	choose(
		{name, pipeline: model}: GatewayService,
		excluded: ReadonlySet<BackendId>,
		full: ReadonlySet<BackendId>,
	): PathStage[] | undefined {
		if (!model) {
			return undefined;
		}

		const chooseAmong = (usable: readonly PathEngine[]) => {
			const engines = this.limitedChoice.applyFirstStageLimits(usable, full);
			return engines.some(({firstStageLoad}) => firstStageLoad)
				? this.#chooseByLoad(name, model, engines)
				: choosePath(engines, model.layers, this.#createHopCost(name, model));
		};

		// Falls back to engines that only refused work or did not complete an answer: better than no path.
		return (
			chooseAmong(this.#listEngines(name, model, excluded, false)) ??
			chooseAmong(this.#listEngines(name, model, excluded, true))
		);
	}

	/** Chooses new stages after the first one, for a request that continues there. */
	chooseAfter(
		first: PathStage & {readonly dataCentre: DataCentreId},
		{name, pipeline: model}: GatewayService,
		excluded: ReadonlySet<BackendId>,
	): PathStage[] | undefined {
		return (
			model &&
			choosePathFromStage(
				first,
				this.#listEngines(name, model, excluded, false),
				model.layers,
				this.#createHopCost(name, model),
			)
		);
	}

	#listEngines(
		service: ServiceName,
		model: PipelineModel,
		excluded: ReadonlySet<BackendId>,
		includeAvoided: boolean,
	): PathEngine[] {
		return this.costs
			.buildPathEngines(this.listUsable(service, includeAvoided), model)
			.filter(({id}) => !excluded.has(id));
	}

	#chooseByLoad(
		service: ServiceName,
		model: PipelineModel,
		engines: readonly PathEngine[],
	): PathStage[] | undefined {
		const options = listPathOptions(
			engines,
			model.layers,
			this.#createHopCost(service, model),
		).map((option) => ({
			...option,
			...(option.first.firstStageLoad ?? {slots: model.slots, slotLoad: 0}),
		}));
		const chosen = chooseFirstStage(options, {
			ownShare: this.costs.computeOwnShare(service),
			drawRandom: this.drawRandom,
		});
		if (chosen) {
			this.counts.byLoad++;
			this.counts.withoutSlot += chosen.slotLoad < 1 ? 0 : 1;
			const loads = options.map(({slotLoad}) => slotLoad);
			const sum = loads.reduce((total, load) => total + load, 0);
			this.counts.spread =
				sum > 0 ? (Math.max(...loads) * loads.length) / sum : 0;
		}

		return chosen?.listStages();
	}

	/** Computes each hop's cost once, as all paths of one choice share the links. */
	#createHopCost(service: ServiceName, model: PipelineModel): ComputeHopCost {
		const known = new Map<string, number>();
		return (from, to) => {
			const key = `${from}>${to}`;
			const cost =
				known.get(key) ?? this.costs.computeHopCost(model, [from, to], service);
			known.set(key, cost);
			return cost;
		};
	}
}

/** The choice of a path of engines for a model request: the cheapest one over usable engines. */
import {
	type Backend,
	type BackendId,
	choosePath,
	choosePathFromStage,
	type DataCentreId,
	type GatewayService,
	type PathEngine,
	type PathStage,
	type PipelineModel,
	type ServiceName,
} from 'bramleystage';
import type {LimitedChoice} from './limited-choice.js';
import type {PathCosts} from './path-costs.js';

export class PathChoice {
	constructor(
		private readonly costs: PathCosts,
		private readonly limitedChoice: LimitedChoice,
		/** Lists the engines of a service that accept new work; `includeAvoided` adds avoided ones that are reachable. */
		private readonly listUsable: (
			service: ServiceName,
			includeAvoided: boolean,
		) => Backend[],
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

		const chooseAmong = (engines: readonly PathEngine[]) =>
			choosePath(
				this.limitedChoice.applyFirstStageLimits(engines, full),
				model.layers,
				(from, to) => this.costs.computeHopCost(model, from, to),
			);
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
				(from, to) => this.costs.computeHopCost(model, from, to),
			)
		);
	}

	#listEngines(
		service: ServiceName,
		model: PipelineModel,
		excluded: ReadonlySet<BackendId>,
		includeAvoided: boolean,
	): PathEngine[] {
		return this.listUsable(service, includeAvoided)
			.filter(({id}) => !excluded.has(id))
			.flatMap((backend) => this.costs.buildPathEngine(backend, model) ?? []);
	}
}

/**
 * Computes the upper bound that engine speeds set on throughput: the highest
 * token rate at which the engines can run every layer for every token. A
 * bisection over the rate checks each candidate with a maximum flow from engines
 * to the layers that they hold.
 */

/** Layers of an engine, and the layer-tokens per second that it can run. */
export type RatedLayerRange = {
	readonly fromLayer: number;
	readonly toLayer: number;
	readonly layerTokensPerSecond: number;
};

const bisectionRounds = 40;
const relativeTolerance = 1e-6;

/** Computes the bound in tokens per second; about 0 if a layer is held by no engine. */
export function computeTokenBound(
	engines: readonly RatedLayerRange[],
	layers: number,
): number {
	const totalRate = engines.reduce(
		(total, each) => total + each.layerTokensPerSecond,
		0,
	);
	let low = 0;
	let high = totalRate / layers;
	for (let round = 0; round < bisectionRounds; round++) {
		const candidate = (low + high) / 2;
		if (isFeasible(engines, layers, candidate)) {
			low = candidate;
		} else {
			high = candidate;
		}
	}

	return low;
}

function isFeasible(
	engines: readonly RatedLayerRange[],
	layers: number,
	tokensPerSecond: number,
): boolean {
	const unusedRates = engines.map(
		({layerTokensPerSecond}) => layerTokensPerSecond,
	);
	const assignedRates = engines.map(() => new Float64Array(layers));
	for (let layer = 0; layer < layers; layer++) {
		let unmetRate = tokensPerSecond;
		while (unmetRate > tokensPerSecond * relativeTolerance) {
			const addedRate = addRate(
				engines,
				{unusedRates, assignedRates},
				layer,
				unmetRate,
			);
			if (addedRate === 0) {
				return false;
			}

			unmetRate -= addedRate;
		}
	}

	return true;
}

type Flow = {
	/** Rate of each engine that is not yet assigned to a layer. */
	readonly unusedRates: number[];
	/** Rate of each engine, by layer, that is assigned to the layer. */
	readonly assignedRates: readonly Float64Array[];
};

/** A step of the search: an engine, and the layer of it at which the step starts. */
type PathStep = {readonly engine: number; readonly fromLayer: number};

/**
 * Assigns more rate to a layer along one augmenting path. Returns the added rate,
 * 0 if there is no such path.
 */
function addRate(
	engines: readonly RatedLayerRange[],
	flow: Flow,
	target: number,
	neededRate: number,
): number {
	// Maps each reached layer to the engine and layer that it was reached from.
	const reachedLayers = new Map<number, PathStep | undefined>([
		[target, undefined],
	]);
	const visitedEngines = new Set<number>();
	for (const layer of reachedLayers.keys()) {
		for (const [engine, range] of engines.entries()) {
			if (
				visitedEngines.has(engine) ||
				layer < range.fromLayer ||
				layer >= range.toLayer
			) {
				continue;
			}

			visitedEngines.add(engine);
			if (flow.unusedRates[engine]! > 0) {
				return applyAugmentingPath(
					flow,
					reachedLayers,
					{engine, fromLayer: layer},
					neededRate,
				);
			}

			for (let other = range.fromLayer; other < range.toLayer; other++) {
				if (
					flow.assignedRates[engine]![other]! > 0 &&
					!reachedLayers.has(other)
				) {
					reachedLayers.set(other, {engine, fromLayer: layer});
				}
			}
		}
	}

	return 0;
}

/** Moves rate along the path that ends at an engine with unused rate. */
function applyAugmentingPath(
	{unusedRates, assignedRates}: Flow,
	reachedLayers: ReadonlyMap<number, PathStep | undefined>,
	lastStep: PathStep,
	neededRate: number,
): number {
	const reassignments: Array<{engine: number; to: number; from: number}> = [];
	let amount = Math.min(neededRate, unusedRates[lastStep.engine]!);
	let layer = lastStep.fromLayer;
	let step = reachedLayers.get(layer);
	while (step) {
		reassignments.push({engine: step.engine, to: step.fromLayer, from: layer});
		amount = Math.min(amount, assignedRates[step.engine]![layer]!);
		layer = step.fromLayer;
		step = reachedLayers.get(layer);
	}

	unusedRates[lastStep.engine]! -= amount;
	assignedRates[lastStep.engine]![lastStep.fromLayer]! += amount;
	for (const {engine, to, from} of reassignments) {
		assignedRates[engine]![from]! -= amount;
		assignedRates[engine]![to]! += amount;
	}

	return amount;
}

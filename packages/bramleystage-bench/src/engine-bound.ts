/**
 * The bound that engines' own rates set on tokens a second: the largest flow
 * in which every layer runs every token, found by bisection over max-flow from
 * engines to the layers that they hold.
 */

export type RatedRange = {
	readonly fromLayer: number;
	readonly toLayer: number;
	readonly layerTokensPerSecond: number;
};

const rounds = 40;
const tolerance = 1e-6;

/** Computes the bound in tokens a second. */
export function computeTokenBound(
	engines: readonly RatedRange[],
	layers: number,
): number {
	const sum = engines.reduce(
		(total, each) => total + each.layerTokensPerSecond,
		0,
	);
	let low = 0;
	let high = sum / layers;
	for (let round = 0; round < rounds; round++) {
		const middle = (low + high) / 2;
		if (isFeasible(engines, layers, middle)) {
			low = middle;
		} else {
			high = middle;
		}
	}

	return low;
}

function isFeasible(
	engines: readonly RatedRange[],
	layers: number,
	tokens: number,
): boolean {
	const left = engines.map(({layerTokensPerSecond}) => layerTokensPerSecond);
	const given = engines.map(() => new Float64Array(layers));
	for (let layer = 0; layer < layers; layer++) {
		let missing = tokens;
		while (missing > tokens * tolerance) {
			const moved = addRate(engines, {left, given}, layer, missing);
			if (moved === 0) {
				return false;
			}

			missing -= moved;
		}
	}

	return true;
}

type Flow = {
	/** Rate of each engine that no layer uses yet. */
	readonly left: number[];
	/** Rate that each engine gives to each layer. */
	readonly given: readonly Float64Array[];
};

type Visit = {readonly engine: number; readonly fromLayer: number};

/** Moves some rate to a layer along one augmenting path; gives how much. */
function addRate(
	engines: readonly RatedRange[],
	flow: Flow,
	target: number,
	wanted: number,
): number {
	// For each layer that was reached: the engine and layer that it was reached from.
	const reached = new Map<number, Visit | undefined>([[target, undefined]]);
	const visited = new Set<number>();
	for (const layer of reached.keys()) {
		for (const [engine, range] of engines.entries()) {
			if (
				visited.has(engine) ||
				layer < range.fromLayer ||
				layer >= range.toLayer
			) {
				continue;
			}

			visited.add(engine);
			if (flow.left[engine]! > 0) {
				return carryRate(flow, reached, {engine, fromLayer: layer}, wanted);
			}

			for (let other = range.fromLayer; other < range.toLayer; other++) {
				if (flow.given[engine]![other]! > 0 && !reached.has(other)) {
					reached.set(other, {engine, fromLayer: layer});
				}
			}
		}
	}

	return 0;
}

function carryRate(
	{left, given}: Flow,
	reached: ReadonlyMap<number, Visit | undefined>,
	last: Visit,
	wanted: number,
): number {
	const moves: Array<{engine: number; to: number; from: number}> = [];
	let amount = Math.min(wanted, left[last.engine]!);
	let layer = last.fromLayer;
	let visit = reached.get(layer);
	while (visit) {
		moves.push({engine: visit.engine, to: visit.fromLayer, from: layer});
		amount = Math.min(amount, given[visit.engine]![layer]!);
		layer = visit.fromLayer;
		visit = reached.get(layer);
	}

	left[last.engine]! -= amount;
	given[last.engine]![last.fromLayer]! += amount;
	for (const {engine, to, from} of moves) {
		given[engine]![from]! -= amount;
		given[engine]![to]! += amount;
	}

	return amount;
}
